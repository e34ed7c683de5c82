package org.trefoilledge.core.overload;

/**
 * Bounds the retries to one service to a share of its requests, with a small reserve for bursts of failures.
 * Thread-safe.
 */
public final class RetryThrottle {
    private static final double DEFAULT_RATIO = 0.1;
    private static final double DEFAULT_RESERVE = 10;
    private static final long WINDOW_MILLIS = 10_000;

    private final double ratio;
    private final double reserve;
    private double tokens;
    private double windowTokens;
    private double previousWindowTokens;
    private long windowStartMillis = Long.MIN_VALUE;

    /** Creates the usual bound: a tenth of the requests and a reserve of ten. */
    public RetryThrottle() {
        this(DEFAULT_RATIO, DEFAULT_RESERVE);
    }

    /**
     * Creates a bound.
     *
     * @param ratio retries for each request
     * @param reserve retries that need no request before them
     */
    public RetryThrottle(double ratio, double reserve) {
        this.ratio = ratio;
        this.reserve = reserve;
        this.tokens = reserve;
    }

    /** Counts a first attempt. */
    public synchronized void recordRequest(long now) {
        advanceWindow(now);
        windowTokens += ratio;
        tokens = Math.min(tokens + ratio, reserve + windowTokens + previousWindowTokens);
    }

    /** Takes the right to one retry; returns false when the ratio is used up. */
    public synchronized boolean tryRetry(long now) {
        return tryRetry(1, now);
    }

    /** Takes the right to a retry that counts like several; returns false when the ratio is used up. */
    public synchronized boolean tryRetry(double cost, long now) {
        advanceWindow(now);
        if (tokens < cost) {
            return false;
        }
        tokens -= cost;
        return true;
    }

    /** Forgets what was earned more than two windows ago, so that a quiet hour does not allow a retry storm. */
    private void advanceWindow(long now) {
        if (windowStartMillis == Long.MIN_VALUE) {
            windowStartMillis = now;
        }
        long windows = (now - windowStartMillis) / WINDOW_MILLIS;
        if (windows <= 0) {
            return;
        }
        previousWindowTokens = windows == 1 ? windowTokens : 0;
        windowTokens = 0;
        windowStartMillis += windows * WINDOW_MILLIS;
        tokens = Math.min(tokens, reserve + previousWindowTokens);
    }
}
