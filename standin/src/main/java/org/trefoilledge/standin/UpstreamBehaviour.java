package org.trefoilledge.standin;

/**
 * Behaviour of the stand-in upstream, including its faults. It can be replaced at runtime.
 *
 * @param slowdown multiplier of the service time
 * @param failureRatio probability that a request ends with status 500
 * @param hang whether started requests are held until this is unset
 * @param state announced state
 * @param loadLagMillis age of the data that the health and load endpoints report, in milliseconds
 * @param resetAfterBytes body bytes after which the connection of each response is reset, -1 for no reset
 */
public record UpstreamBehaviour(
        double slowdown,
        double failureRatio,
        boolean hang,
        UpstreamState state,
        long loadLagMillis,
        long resetAfterBytes) {
    /** A healthy upstream whose health and load endpoints lag by 5 s. */
    public static final UpstreamBehaviour HEALTHY =
            new UpstreamBehaviour(1, 0, false, UpstreamState.SERVING, 5_000, -1);

    /** Checks the ranges. */
    public UpstreamBehaviour {
        if (!(slowdown > 0 && slowdown <= 1_000_000)) {
            throw new IllegalArgumentException("slowdown must be above 0 and at most 1000000, but was: " + slowdown);
        }
        if (state == null) {
            throw new IllegalArgumentException("state must be starting, serving or draining");
        }
        Checks.requireProbability("failureRatio", failureRatio);
        Checks.requireNonNegative("loadLagMillis", loadLagMillis);
    }

    /** Returns a copy with the given service time multiplier. */
    public UpstreamBehaviour withSlowdown(double value) {
        return new UpstreamBehaviour(value, failureRatio, hang, state, loadLagMillis, resetAfterBytes);
    }

    /** Returns a copy with the given failure probability. */
    public UpstreamBehaviour withFailureRatio(double value) {
        return new UpstreamBehaviour(slowdown, value, hang, state, loadLagMillis, resetAfterBytes);
    }

    /** Returns a copy that holds started requests or not. */
    public UpstreamBehaviour withHang(boolean value) {
        return new UpstreamBehaviour(slowdown, failureRatio, value, state, loadLagMillis, resetAfterBytes);
    }

    /** Returns a copy with the given announced state. */
    public UpstreamBehaviour withState(UpstreamState value) {
        return new UpstreamBehaviour(slowdown, failureRatio, hang, value, loadLagMillis, resetAfterBytes);
    }

    /** Returns a copy whose health and load endpoints have the given lag in milliseconds. */
    public UpstreamBehaviour withLoadLagMillis(long value) {
        return new UpstreamBehaviour(slowdown, failureRatio, hang, state, value, resetAfterBytes);
    }

    /** Returns a copy that resets connections after the given number of response body bytes. */
    public UpstreamBehaviour withResetAfterBytes(long value) {
        return new UpstreamBehaviour(slowdown, failureRatio, hang, state, loadLagMillis, value);
    }
}
