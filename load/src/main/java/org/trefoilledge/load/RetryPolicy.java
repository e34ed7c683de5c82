package org.trefoilledge.load;

import java.util.random.RandomGenerator;

/**
 * Retry settings for requests that were not answered whole.
 *
 * @param maxRetries retries after the first attempt
 * @param delayMillis delay before a retry
 * @param jitter fraction by which the delay varies in both directions, 0 to 1
 * @param respectRetryAfter whether a longer delay requested by the refusal is used
 */
record RetryPolicy(int maxRetries, long delayMillis, double jitter, boolean respectRetryAfter) {
    static final RetryPolicy NONE = new RetryPolicy(0, 0, 0, true);

    long delayMillis(long retryAfterMillis, RandomGenerator random) {
        long jitteredMillis = Math.round(delayMillis * (1 + jitter * (2 * random.nextDouble() - 1)));
        return respectRetryAfter ? Math.max(jitteredMillis, retryAfterMillis) : jitteredMillis;
    }
}
