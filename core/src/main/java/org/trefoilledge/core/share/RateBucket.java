package org.trefoilledge.core.share;

/** A token bucket whose rate and depth change while it is in use. It starts empty. Not thread-safe. */
public final class RateBucket {
    private static final double MILLIS_PER_SECOND = 1_000;
    /** A node keeps this part of its tokens, because it is likely to need some itself. */
    private static final double LARGEST_GIFT = 0.5;

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

    /** Returns the tokens that are there now. */
    public double tokens(long now) {
        fill(now);
        return tokens;
    }

    /** Takes tokens out for another node, at most half of what is there; returns how many. */
    public double giveAway(double wanted, long now) {
        fill(now);
        double given = Math.min(wanted, tokens * LARGEST_GIFT);
        tokens -= given;
        return given;
    }

    /** Adds tokens that another node took out of its own part. They may exceed the depth until they are used. */
    public void receive(double given, long now) {
        fill(now);
        tokens += given;
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
        double filled = Math.min(depth, tokens + elapsed * ratePerSecond / MILLIS_PER_SECOND);
        tokens = Math.max(tokens, filled);
    }
}
