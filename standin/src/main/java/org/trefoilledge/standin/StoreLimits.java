package org.trefoilledge.standin;

/**
 * What the stand-in store can do.
 *
 * @param writesPerSecond rate above which writes are refused with status 429
 * @param readsPerSecond rate above which reads and new watches are refused with status 429
 * @param latencyMillis time that each call takes
 */
public record StoreLimits(int writesPerSecond, int readsPerSecond, long latencyMillis) {
    /** The platform's store: several hundred writes and about two thousand reads a second, a few milliseconds each. */
    public static final StoreLimits PLATFORM = new StoreLimits(400, 2_000, 2);

    /** Checks the ranges. */
    public StoreLimits {
        Checks.requirePositive("writesPerSecond", writesPerSecond);
        Checks.requirePositive("readsPerSecond", readsPerSecond);
        Checks.requireNonNegative("latencyMillis", latencyMillis);
    }
}
