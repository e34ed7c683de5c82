package org.trefoilledge.core.share;

/** A token bucket whose rate and depth change while it is in use. It starts empty. Not thread-safe. */
public final class RateBucket {
    private static final double MILLIS_PER_SECOND = 1_000;

    private double ratePerSecond;
    private double depth;
    private double tokens;
    private long filledMillis;

    /** Creates an empty bucket without a rate. */
    public RateBucket(long now) {
        filledMillis = now;
    }

    /** Sets rate and depth. Tokens above the new depth are lost. */
    public void configure(double newRatePerSecond, double newDepth, long now) {
        fill(now);
        ratePerSecond = newRatePerSecond;
        depth = newDepth;
        tokens = Math.min(tokens, depth);
    }

    /** Takes one token; returns false if there is none. */
    public boolean tryTake(long now) {
        fill(now);
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }

    /** Puts back the token of a request that did not run. */
    public void giveBack() {
        tokens = Math.min(depth, tokens + 1);
    }

    /** Returns the time until one token is there, in milliseconds; the given bound if that takes longer. */
    public long millisUntilToken(long bound) {
        if (tokens >= 1) {
            return 0;
        }
        if (ratePerSecond <= 0 || depth < 1) {
            return bound;
        }
        return (long) Math.min((double) bound, Math.ceil((1 - tokens) / ratePerSecond * MILLIS_PER_SECOND));
    }

    private void fill(long now) {
        long elapsed = Math.max(0, now - filledMillis);
        filledMillis = Math.max(filledMillis, now);
        tokens = Math.min(depth, tokens + elapsed * ratePerSecond / MILLIS_PER_SECOND);
    }
}
