package org.trefoilledge.sidecar;

import java.util.Optional;
import org.trefoilledge.core.Clock;
import org.trefoilledge.core.routing.RoutingConfig;

/**
 * The newest configuration and the time at which it was certainly the newest one. Versions never go back. One thread
 * writes, all may read.
 */
final class Knowledge {
    private final Clock clock;
    private final Clock wallClock;
    private volatile State state = new State(null, null, Long.MIN_VALUE / 2, Long.MIN_VALUE / 2);

    @SuppressWarnings("ArrayRecordComponent") // the bytes are shared, not copied, and never changed
    private record State(RoutingConfig config, byte[] document, long steadyMillis, long wallMillis) {}

    /**
     * @param clock steady clock, which may stand still while the host is suspended
     * @param wallClock time of day, which goes on meanwhile
     */
    Knowledge(Clock clock, Clock wallClock) {
        this.clock = clock;
        this.wallClock = wallClock;
    }

    /** A moment on both clocks. */
    record Moment(long steadyMillis, long wallMillis) {
        Moment minus(long millis) {
            return new Moment(steadyMillis - millis, wallMillis - millis);
        }
    }

    Moment now() {
        return new Moment(clock.millis(), wallClock.millis());
    }

    Optional<RoutingConfig> config() {
        return Optional.ofNullable(state.config());
    }

    /** Returns the configuration as the store holds it, empty if none is known. */
    byte[] document() {
        byte[] document = state.document();
        return document == null ? new byte[0] : document;
    }

    long version() {
        RoutingConfig config = state.config();
        return config == null ? 0 : config.version();
    }

    /**
     * Takes a configuration that was read from the store.
     *
     * @param asOf when the read was sent
     * @return whether it is newer than what was known
     */
    boolean learn(RoutingConfig config, byte[] document, Moment asOf) {
        if (config.version() < version()) {
            return false;
        }
        if (config.version() == version()) {
            confirm(config.version(), asOf);
            return false;
        }
        // Whatever was in force at the earlier time is part of this version too.
        State known = state;
        state = new State(
                config,
                document,
                Math.max(known.steadyMillis(), asOf.steadyMillis()),
                Math.max(known.wallMillis(), asOf.wallMillis()));
        return true;
    }

    /** Takes the news that the given version was still the newest at the given time. */
    void confirm(long version, Moment asOf) {
        State known = state;
        if (known.config() != null && version == known.config().version()) {
            state = new State(
                    known.config(),
                    known.document(),
                    Math.max(known.steadyMillis(), asOf.steadyMillis()),
                    Math.max(known.wallMillis(), asOf.wallMillis()));
        }
    }

    /** Returns the time since the configuration was certainly the newest one, by the clock on which it is longer. */
    long ageMillis() {
        State known = state;
        if (known.config() == null) {
            return Integer.MAX_VALUE;
        }
        long age = Math.max(clock.millis() - known.steadyMillis(), wallClock.millis() - known.wallMillis());
        return Math.min(Integer.MAX_VALUE, Math.max(0, age));
    }
}
