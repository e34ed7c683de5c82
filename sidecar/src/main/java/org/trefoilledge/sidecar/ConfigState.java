package org.trefoilledge.sidecar;

import java.util.Optional;
import org.trefoilledge.core.Clock;
import org.trefoilledge.core.routing.RoutingConfig;

/**
 * The newest known configuration and the latest time at which it was confirmed to be the newest one. Older versions never
 * replace newer ones. Written by one thread, read by any.
 */
final class ConfigState {
    private final Clock steadyClock;
    private final Clock wallClock;
    private volatile Snapshot snapshot = new Snapshot(null, null, Long.MIN_VALUE / 2, Long.MIN_VALUE / 2);

    @SuppressWarnings("ArrayRecordComponent") // the bytes are shared, not copied, and never changed
    private record Snapshot(
            RoutingConfig config, byte[] document, long confirmedSteadyMillis, long confirmedWallMillis) {}

    /**
     * @param steadyClock monotonic clock, which may stop while the host is suspended
     * @param wallClock time of day, which includes suspensions
     */
    ConfigState(Clock steadyClock, Clock wallClock) {
        this.steadyClock = steadyClock;
        this.wallClock = wallClock;
    }

    /** A point in time on both clocks, in milliseconds. */
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

    /** Returns the configuration document as stored, or an empty array if no configuration is current. */
    byte[] document() {
        byte[] document = snapshot.document();
        return document == null ? new byte[0] : document;
    }

    long version() {
        RoutingConfig config = snapshot.config();
        return config == null ? 0 : config.version();
    }

    /**
     * Replaces the configuration if the given version is newer, or confirms the current version if both are equal.
     *
     * @param asOf time at which the given configuration was the newest one
     * @return whether the configuration was replaced
     */
    boolean update(RoutingConfig config, byte[] document, Timestamp asOf) {
        if (config.version() < version()) {
            return false;
        }
        if (config.version() == version()) {
            confirm(config.version(), asOf);
            return false;
        }
        // A newer version supersedes all earlier ones, so earlier confirmations also hold for it.
        Snapshot current = snapshot;
        snapshot = new Snapshot(
                config,
                document,
                Math.max(current.confirmedSteadyMillis(), asOf.steadyMillis()),
                Math.max(current.confirmedWallMillis(), asOf.wallMillis()));
        return true;
    }

    /** Records that the given version was the newest one at the given time; ignored unless it is the current version. */
    void confirm(long version, Timestamp asOf) {
        Snapshot current = snapshot;
        if (current.config() != null && version == current.config().version()) {
            snapshot = new Snapshot(
                    current.config(),
                    current.document(),
                    Math.max(current.confirmedSteadyMillis(), asOf.steadyMillis()),
                    Math.max(current.confirmedWallMillis(), asOf.wallMillis()));
        }
    }

    /**
     * Returns the time since the configuration was last confirmed to be the newest one, in milliseconds, by the clock on
     * which more time has passed. Returns {@link Integer#MAX_VALUE} if no configuration is known.
     */
    long ageMillis() {
        Snapshot current = snapshot;
        if (current.config() == null) {
            return Integer.MAX_VALUE;
        }
        long age = Math.max(
                steadyClock.millis() - current.confirmedSteadyMillis(),
                wallClock.millis() - current.confirmedWallMillis());
        return Math.min(Integer.MAX_VALUE, Math.max(0, age));
    }
}
