package org.trefoilledge.core.overload;

/**
 * Bounds the retries to one service to a share of its requests, with a small reserve for bursts of failures.
 * Thread-safe.
 */
public final class RetryRatio {
    private static final double RETRIES_PER_REQUEST = 0.1;
    private static final double RESERVE = 10;
    private static final long WINDOW_MILLIS = 10_000;

    private final double ratio;
    private final double reserve;
    private double tokens;
    private double earned;
    private double earnedBefore;
    private long windowStartMillis = Long.MIN_VALUE;

    /** Creates the usual bound: a tenth of the requests and a reserve of ten. */
    public RetryRatio() {
        this(RETRIES_PER_REQUEST, RESERVE);
    }

    /**
     * Creates a bound.
     *
     * @param ratio retries for each request
     * @param reserve retries that need no request before them
     */
    public RetryRatio(double ratio, double reserve) {
        this.ratio = ratio;
        this.reserve = reserve;
        this.tokens = reserve;
    }

    /** Counts a first attempt. */
    public synchronized void requestSent(long now) {
        rotate(now);
        earned += ratio;
        tokens = Math.min(tokens + ratio, reserve + earned + earnedBefore);
    }

    /** Takes the right to one retry; returns false when the ratio is used up. */
    public synchronized boolean tryRetry(long now) {
        return tryRetry(1, now);
    }

    /** Takes the right to a retry that counts like several; returns false when the ratio is used up. */
    public synchronized boolean tryRetry(double cost, long now) {
        rotate(now);
        if (tokens < cost) {
            return false;
        }
        tokens -= cost;
        return true;
    }

    /** Forgets what was earned more than two windows ago, so that a quiet hour does not allow a retry storm. */
    private void rotate(long now) {
        if (windowStartMillis == Long.MIN_VALUE) {
            windowStartMillis = now;
        }
        long windows = (now - windowStartMillis) / WINDOW_MILLIS;
        if (windows <= 0) {
            return;
        }
        earnedBefore = windows == 1 ? earned : 0;
        earned = 0;
        windowStartMillis += windows * WINDOW_MILLIS;
        tokens = Math.min(tokens, reserve + earnedBefore);
    }
}
