package org.trefoilledge.load;

import java.util.random.RandomGenerator;

/**
 * How a caller repeats a request that was not answered whole.
 *
 * @param maxRetries repeats after the first attempt
 * @param delayMillis delay before a repeat
 * @param jitter fraction by which the delay varies in both directions, 0 to 1
 * @param respectRetryAfter whether a longer delay that the refusal asks for is kept
 */
record RetryPolicy(int maxRetries, long delayMillis, double jitter, boolean respectRetryAfter) {
    static final RetryPolicy NONE = new RetryPolicy(0, 0, 0, true);

    long delayMillis(long retryAfterMillis, RandomGenerator random) {
        long own = Math.round(delayMillis * (1 + jitter * (2 * random.nextDouble() - 1)));
        return respectRetryAfter ? Math.max(own, retryAfterMillis) : own;
    }
}
