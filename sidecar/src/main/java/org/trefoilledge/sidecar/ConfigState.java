package org.trefoilledge.sidecar;

import java.util.Optional;
import org.trefoilledge.core.Clock;
import org.trefoilledge.core.routing.RoutingConfig;

/**
 * The newest configuration and the time at which it was certainly the newest one. Versions never go back. One thread
 * writes, all may read.
 */
final class ConfigState {
    private final Clock steadyClock;
    private final Clock wallClock;
    private volatile Snapshot snapshot = new Snapshot(null, null, Long.MIN_VALUE / 2, Long.MIN_VALUE / 2);

    @SuppressWarnings("ArrayRecordComponent") // the bytes are shared, not copied, and never changed
    private record Snapshot(
            RoutingConfig config, byte[] document, long confirmedSteadyMillis, long confirmedWallMillis) {}

    /**
     * @param clock steady clock, which may stand still while the host is suspended
     * @param wallClock time of day, which goes on meanwhile
     */
    ConfigState(Clock clock, Clock wallClock) {
        this.steadyClock = clock;
        this.wallClock = wallClock;
    }

    /** A moment on both clocks. */
    record Timestamp(long steadyMillis, long wallMillis) {
        Timestamp minus(long millis) {
            return new Timestamp(steadyMillis - millis, wallMillis - millis);
        }
    }

    Timestamp now() {
        return new Timestamp(steadyClock.millis(), wallClock.millis());
    }

    Optional<RoutingConfig> config() {
        return Optional.ofNullable(snapshot.config());
    }

    /** Returns the configuration as the store holds it, empty if none is known. */
    byte[] document() {
        byte[] document = snapshot.document();
        return document == null ? new byte[0] : document;
    }

    long version() {
        RoutingConfig config = snapshot.config();
        return config == null ? 0 : config.version();
    }

    /**
     * Takes a configuration that was read from the store.
     *
     * @param asOf when the read was sent
     * @return whether it is newer than what was known
     */
    boolean update(RoutingConfig config, byte[] document, Timestamp asOf) {
        if (config.version() < version()) {
            return false;
        }
        if (config.version() == version()) {
            confirm(config.version(), asOf);
            return false;
        }
        // Whatever was in force at the earlier time is part of this version too.
        Snapshot known = snapshot;
        snapshot = new Snapshot(
                config,
                document,
                Math.max(known.confirmedSteadyMillis(), asOf.steadyMillis()),
                Math.max(known.confirmedWallMillis(), asOf.wallMillis()));
        return true;
    }

    /** Takes the news that the given version was still the newest at the given time. */
    void confirm(long version, Timestamp asOf) {
        Snapshot known = snapshot;
        if (known.config() != null && version == known.config().version()) {
            snapshot = new Snapshot(
                    known.config(),
                    known.document(),
                    Math.max(known.confirmedSteadyMillis(), asOf.steadyMillis()),
                    Math.max(known.confirmedWallMillis(), asOf.wallMillis()));
        }
    }

    /** Returns the time since the configuration was certainly the newest one, by the clock on which it is longer. */
    long ageMillis() {
        Snapshot known = snapshot;
        if (known.config() == null) {
            return Integer.MAX_VALUE;
        }
        long age = Math.max(
                steadyClock.millis() - known.confirmedSteadyMillis(), wallClock.millis() - known.confirmedWallMillis());
        return Math.min(Integer.MAX_VALUE, Math.max(0, age));
    }
}
