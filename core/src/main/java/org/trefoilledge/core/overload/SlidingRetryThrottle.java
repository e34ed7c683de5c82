package org.trefoilledge.core.overload;

/**
 * Limits the retries to one service in every window of 10 s to a fraction of its requests plus a reserve. The base is
 * the larger of the requests in the window and in the window before, because fewer requests are admitted while a
 * service fails. Answers upstreams that reject most of their calls for seconds: half of the budget is kept for nested
 * calls, because a tree of which one call fails has wasted all of its work, and no second may use up the budget before
 * the admission plan has adapted. Not thread-safe.
 */
public final class SlidingRetryThrottle implements RetryBudget {
    private static final long BUCKET_MILLIS = 250;
    private static final int BUCKETS_PER_WINDOW = 40;
    /** Two windows, and the bucket by which the retries of the oldest one are counted longer than 10 s. */
    private static final int BUCKETS = 2 * BUCKETS_PER_WINDOW + 1;

    /** Part of the budget that retries of root requests may use; their callers can retry themselves. */
    public static final double ROOT_SHARE = 0.5;
    /** Part of the budget that may be used in one second; sharing out less makes most trees fail in short failures. */
    private static final double MAX_SHARE_PER_SECOND = 0.5;
    /** Retries that one second may use even if they are more than that part of the budget. */
    private static final double MIN_PER_SECOND = 4;

    private static final int BUCKETS_PER_SECOND = 4;

    private final double[] requests = new double[BUCKETS];
    private final double[] retries = new double[BUCKETS];
    private double ratio;
    private double reserve;
    private long currentBucket = Long.MIN_VALUE;

    /**
     * Creates a throttle.
     *
     * @param ratio retries per request
     * @param reserve retries per window that are allowed without requests
     */
    public SlidingRetryThrottle(double ratio, double reserve) {
        this.ratio = ratio;
        this.reserve = reserve;
    }

    @Override
    public void recordRequest(long now) {
        advance(now);
        requests[index(0)]++;
    }

    @Override
    public boolean tryRetry(double cost, boolean nested, long now) {
        advance(now);
        double budget = budget();
        double limit = nested ? budget : budget * ROOT_SHARE;
        double perSecond = Math.max(MIN_PER_SECOND, budget * MAX_SHARE_PER_SECOND);
        // The oldest bucket reaches back further than the window, so that no window has more retries than allowed.
        if (sum(retries, 0, BUCKETS_PER_WINDOW + 1) + cost > limit
                || sum(retries, 0, BUCKETS_PER_SECOND) + cost > perSecond) {
            return false;
        }
        retries[index(0)] += cost;
        return true;
    }

    /** Returns this throttle with the new limits and its history, which the bound on the retries depends on. */
    @Override
    public RetryBudget withLimits(double newRatio, double newReserve) {
        ratio = newRatio;
        reserve = newReserve;
        return this;
    }

    /** Returns the retries that the window that ends now may contain. */
    private double budget() {
        double base = Math.max(
                sum(requests, 0, BUCKETS_PER_WINDOW), sum(requests, BUCKETS_PER_WINDOW, 2 * BUCKETS_PER_WINDOW));
        return reserve + ratio * base;
    }

    private double sum(double[] counts, int fromAge, int toAge) {
        double sum = 0;
        for (int age = fromAge; age < toAge; age++) {
            sum += counts[index(age)];
        }
        return sum;
    }

    private int index(int age) {
        return (int) Math.floorMod(currentBucket - age, (long) BUCKETS);
    }

    private void advance(long now) {
        long bucket = Math.floorDiv(now, BUCKET_MILLIS);
        if (currentBucket == Long.MIN_VALUE) {
            currentBucket = bucket;
        }
        long last = Math.min(bucket, currentBucket + BUCKETS);
        while (currentBucket < last) {
            currentBucket++;
            requests[index(0)] = 0;
            retries[index(0)] = 0;
        }
        currentBucket = Math.max(currentBucket, bucket);
    }
}
