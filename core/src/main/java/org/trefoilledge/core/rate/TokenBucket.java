package org.trefoilledge.core.rate;

/** A token bucket whose size changes while it is in use. It starts empty. Not thread-safe. */
final class TokenBucket {
    private static final double MILLIS_PER_SECOND = 1_000;

    private Limits limits = new Limits(0, 0);
    private double tokens;
    private long lastRefillMillis;

    /**
     * Rate and depth of a bucket.
     *
     * @param refillPerSecond tokens that come in a second
     * @param capacity tokens that it holds at most
     */
    record Limits(double refillPerSecond, double capacity) {}

    TokenBucket(long now) {
        lastRefillMillis = now;
    }

    /** Sets rate and depth. Tokens above the new depth are lost. */
    void resize(Limits newSize, long now) {
        refill(now);
        limits = newSize;
        tokens = Math.min(tokens, limits.capacity());
    }

    /** Adds tokens, up to the depth. */
    void add(double more) {
        tokens = Math.min(limits.capacity(), tokens + more);
    }

    /** Takes up to the given number of whole tokens; returns how many. */
    int take(int wanted, long now) {
        refill(now);
        int taken = (int) Math.min(wanted, Math.floor(tokens));
        tokens -= taken;
        return taken;
    }

    /** Returns the part of the depth that is filled, 0 for a bucket without depth. */
    double fillRatio(long now) {
        refill(now);
        return limits.capacity() <= 0 ? 0 : tokens / limits.capacity();
    }

    /** Returns the time until the next whole token is there, in milliseconds; the given bound if that takes longer. */
    long millisUntilToken(long bound) {
        if (tokens >= 1) {
            return 0;
        }
        if (limits.refillPerSecond() <= 0 || limits.capacity() < 1) {
            return bound;
        }
        return (long) Math.min((double) bound, Math.ceil((1 - tokens) / limits.refillPerSecond() * MILLIS_PER_SECOND));
    }

    private void refill(long now) {
        long elapsed = Math.max(0, now - lastRefillMillis);
        lastRefillMillis = Math.max(lastRefillMillis, now);
        tokens = Math.min(limits.capacity(), tokens + elapsed * limits.refillPerSecond() / MILLIS_PER_SECOND);
    }
}
