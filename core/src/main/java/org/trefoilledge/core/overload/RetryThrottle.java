package org.trefoilledge.core.overload;

/**
 * Limits the retries to one service to a fraction of its requests, with a small reserve for bursts of failures. Each
 * request adds a fraction of a token and each retry consumes tokens. Thread-safe.
 */
public final class RetryThrottle implements RetryBudget {
    private static final double DEFAULT_RATIO = 0.1;
    private static final double DEFAULT_RESERVE = 10;
    private static final long WINDOW_MILLIS = 10_000;

    private final double ratio;
    private final double reserve;
    private double tokens;
    private double windowTokens;
    private double previousWindowTokens;
    private long windowStartMillis = Long.MIN_VALUE;

    /** Creates a throttle with the defaults: one retry for ten requests and a reserve of ten retries. */
    public RetryThrottle() {
        this(DEFAULT_RATIO, DEFAULT_RESERVE);
    }

    /**
     * Creates a throttle.
     *
     * @param ratio retries per request
     * @param reserve retries that are allowed without preceding requests
     */
    public RetryThrottle(double ratio, double reserve) {
        this.ratio = ratio;
        this.reserve = reserve;
        this.tokens = reserve;
    }

    /** Records the first attempt of a request. */
    @Override
    public synchronized void recordRequest(long now) {
        advanceWindow(now);
        windowTokens += ratio;
        tokens = Math.min(tokens + ratio, reserve + windowTokens + previousWindowTokens);
    }

    /** Consumes a token for one retry; returns false if too few are left. */
    public synchronized boolean tryRetry(long now) {
        return tryRetry(1, now);
    }

    /** Consumes the given number of tokens for a retry; returns false if too few are left. */
    public synchronized boolean tryRetry(double cost, long now) {
        advanceWindow(now);
        if (tokens < cost) {
            return false;
        }
        tokens -= cost;
        return true;
    }

    /** {@inheritDoc} Nested calls and root requests are treated alike. */
    @Override
    public boolean tryRetry(double cost, boolean nested, long now) {
        return tryRetry(cost, now);
    }

    /** Returns a new throttle, without the tokens of this one. */
    @Override
    public RetryBudget withLimits(double newRatio, double newReserve) {
        return new RetryThrottle(newRatio, newReserve);
    }

    /** Drops the tokens of all but the last two windows, so that old requests do not allow a burst of retries. */
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
