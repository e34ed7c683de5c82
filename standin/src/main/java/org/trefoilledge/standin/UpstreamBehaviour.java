package org.trefoilledge.standin;

/**
 * How the stand-in upstream behaves; can be changed while it runs.
 *
 * @param slowdown factor of the service time
 * @param failureRatio probability that a request ends with status 500
 * @param hang whether requests that have started never finish while this is set
 * @param state announced state
 * @param loadLagMillis age of what the health and load endpoints tell
 * @param resetAfterBytes body bytes after which each response ends with a reset connection, -1 for never
 */
public record UpstreamBehaviour(
        double slowdown,
        double failureRatio,
        boolean hang,
        UpstreamState state,
        long loadLagMillis,
        long resetAfterBytes) {
    /** A healthy upstream whose health and load endpoints lag by five seconds. */
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

    /** Returns a copy with another factor of the service time. */
    public UpstreamBehaviour withSlowdown(double value) {
        return new UpstreamBehaviour(value, failureRatio, hang, state, loadLagMillis, resetAfterBytes);
    }

    /** Returns a copy with another probability of failure. */
    public UpstreamBehaviour withFailureRatio(double value) {
        return new UpstreamBehaviour(slowdown, value, hang, state, loadLagMillis, resetAfterBytes);
    }

    /** Returns a copy that hangs or not. */
    public UpstreamBehaviour withHang(boolean value) {
        return new UpstreamBehaviour(slowdown, failureRatio, value, state, loadLagMillis, resetAfterBytes);
    }

    /** Returns a copy with another state. */
    public UpstreamBehaviour withState(UpstreamState value) {
        return new UpstreamBehaviour(slowdown, failureRatio, hang, value, loadLagMillis, resetAfterBytes);
    }

    /** Returns a copy whose health and load endpoints lag by another time. */
    public UpstreamBehaviour withLoadLagMillis(long value) {
        return new UpstreamBehaviour(slowdown, failureRatio, hang, state, value, resetAfterBytes);
    }

    /** Returns a copy that resets connections after so many body bytes of the response. */
    public UpstreamBehaviour withResetAfterBytes(long value) {
        return new UpstreamBehaviour(slowdown, failureRatio, hang, state, loadLagMillis, value);
    }
}
