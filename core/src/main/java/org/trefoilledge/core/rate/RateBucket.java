package org.trefoilledge.core.rate;

/** A token bucket whose size changes while it is in use. It starts empty. Not thread-safe. */
final class RateBucket {
    private static final double MILLIS_PER_SECOND = 1_000;

    private Size size = new Size(0, 0);
    private double tokens;
    private long filledMillis;

    /**
     * Rate and depth of a bucket.
     *
     * @param perSecond tokens that come in a second
     * @param depth tokens that it holds at most
     */
    record Size(double perSecond, double depth) {}

    RateBucket(long now) {
        filledMillis = now;
    }

    /** Sets rate and depth. Tokens above the new depth are lost. */
    void resize(Size newSize, long now) {
        fill(now);
        size = newSize;
        tokens = Math.min(tokens, size.depth());
    }

    /** Adds tokens, up to the depth. */
    void add(double more) {
        tokens = Math.min(size.depth(), tokens + more);
    }

    /** Takes up to the given number of whole tokens; returns how many. */
    int take(int wanted, long now) {
        fill(now);
        int taken = (int) Math.min(wanted, Math.floor(tokens));
        tokens -= taken;
        return taken;
    }

    /** Returns the part of the depth that is filled, 0 for a bucket without depth. */
    double level(long now) {
        fill(now);
        return size.depth() <= 0 ? 0 : tokens / size.depth();
    }

    /** Returns the time until the next whole token is there, in milliseconds; the given bound if that takes longer. */
    long millisUntilToken(long bound) {
        if (tokens >= 1) {
            return 0;
        }
        if (size.perSecond() <= 0 || size.depth() < 1) {
            return bound;
        }
        return (long) Math.min((double) bound, Math.ceil((1 - tokens) / size.perSecond() * MILLIS_PER_SECOND));
    }

    private void fill(long now) {
        long elapsed = Math.max(0, now - filledMillis);
        filledMillis = Math.max(filledMillis, now);
        tokens = Math.min(size.depth(), tokens + elapsed * size.perSecond() / MILLIS_PER_SECOND);
    }
}
