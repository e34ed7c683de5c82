package org.trefoilledge.core.rate;

/** A token bucket whose rate and capacity can be changed while it is in use. It starts empty. Not thread-safe. */
final class TokenBucket {
    private static final double MILLIS_PER_SECOND = 1_000;

    private Limits limits = new Limits(0, 0);
    private double tokens;
    private long lastRefillMillis;

    /**
     * Refill rate and capacity of a bucket.
     *
     * @param refillPerSecond tokens added per second
     * @param capacity maximum number of tokens in the bucket
     */
    record Limits(double refillPerSecond, double capacity) {}

    TokenBucket(long now) {
        lastRefillMillis = now;
    }

    /** Sets the refill rate and the capacity. Tokens above the new capacity are discarded. */
    void resize(Limits newLimits, long now) {
        refill(now);
        limits = newLimits;
        tokens = Math.min(tokens, limits.capacity());
    }

    /** Adds tokens, up to the capacity. */
    void add(double count) {
        tokens = Math.min(limits.capacity(), tokens + count);
    }

    /** Takes up to the given number of whole tokens and returns the number of tokens taken. */
    int take(int wanted, long now) {
        refill(now);
        int taken = (int) Math.min(wanted, Math.floor(tokens));
        tokens -= taken;
        return taken;
    }

    /** Returns the ratio of tokens to capacity, 0 for a bucket without capacity. */
    double fillRatio(long now) {
        refill(now);
        return limits.capacity() <= 0 ? 0 : tokens / limits.capacity();
    }

    /** Returns the milliseconds until a whole token is available, at most the given maximum. */
    long millisUntilToken(long maxMillis) {
        if (tokens >= 1) {
            return 0;
        }
        if (limits.refillPerSecond() <= 0 || limits.capacity() < 1) {
            return maxMillis;
        }
        return (long)
                Math.min((double) maxMillis, Math.ceil((1 - tokens) / limits.refillPerSecond() * MILLIS_PER_SECOND));
    }

    private void refill(long now) {
        long elapsed = Math.max(0, now - lastRefillMillis);
        lastRefillMillis = Math.max(lastRefillMillis, now);
        tokens = Math.min(limits.capacity(), tokens + elapsed * limits.refillPerSecond() / MILLIS_PER_SECOND);
    }
}
