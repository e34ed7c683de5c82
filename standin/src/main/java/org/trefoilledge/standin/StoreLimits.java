package org.trefoilledge.standin;

/**
 * Rate limits and latency of the stand-in store.
 *
 * @param writesPerSecond rate above which writes are refused with status 429
 * @param readsPerSecond rate above which reads and new watches are refused with status 429
 * @param latencyMillis latency of each call, in milliseconds
 */
public record StoreLimits(int writesPerSecond, int readsPerSecond, long latencyMillis) {
    /** The platform's store: several hundred writes and about 2000 reads per second, a few milliseconds per call. */
    public static final StoreLimits PLATFORM = new StoreLimits(400, 2_000, 2);

    /** Checks the ranges. */
    public StoreLimits {
        Checks.requirePositive("writesPerSecond", writesPerSecond);
        Checks.requirePositive("readsPerSecond", readsPerSecond);
        Checks.requireNonNegative("latencyMillis", latencyMillis);
    }
}
