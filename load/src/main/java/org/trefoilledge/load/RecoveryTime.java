package org.trefoilledge.load;

import java.util.List;
import java.util.OptionalDouble;

/**
 * How long goodput takes to return after a disturbance.
 *
 * @param goodputBefore goodput before the trigger, in whole requests per second
 * @param seconds time from the end of the disturbance until goodput is back; empty if it did not return
 */
record RecoveryTime(double goodputBefore, OptionalDouble seconds) {
    /** Goodput counts as recovered at this fraction of the goodput before the trigger. */
    static final double RECOVERED_FRACTION = 0.95;

    private static final int BUCKETS_PER_SECOND = 10;
    /** Goodput is averaged over this many seconds, which keeps the noise of a Poisson process from hiding a return. */
    private static final int WINDOW_SECONDS = 2;

    /**
     * Computes the recovery time from the times at which whole answers arrived.
     *
     * <p>The recovery time ends at the start of the first window of two seconds in which goodput is at least 95% of the
     * goodput between the warm-up and the trigger, if it is also at least 95% over the rest of the run.
     *
     * @param wholeAt arrival times of whole answers in seconds
     */
    static RecoveryTime of(List<Double> wholeAt, double warmup, double trigger, double recoverFrom, double duration) {
        double before = wholeAt.stream().filter(t -> t >= warmup && t < trigger).count() / (trigger - warmup);
        int[] buckets = buckets(wholeAt, duration);
        int window = WINDOW_SECONDS * BUCKETS_PER_SECOND;
        int first = (int) Math.round(recoverFrom * BUCKETS_PER_SECOND);
        for (int start = first; start + window <= buckets.length; start++) {
            if (meanPerSecond(buckets, start, start + window) >= RECOVERED_FRACTION * before
                    && meanPerSecond(buckets, start, buckets.length) >= RECOVERED_FRACTION * before) {
                return new RecoveryTime(before, OptionalDouble.of((start - first) / (double) BUCKETS_PER_SECOND));
            }
        }
        return new RecoveryTime(before, OptionalDouble.empty());
    }

    private static int[] buckets(List<Double> wholeAt, double duration) {
        int[] buckets = new int[(int) Math.floor(duration * BUCKETS_PER_SECOND)];
        for (double time : wholeAt) {
            int bucket = (int) Math.floor(time * BUCKETS_PER_SECOND);
            if (bucket >= 0 && bucket < buckets.length) {
                buckets[bucket]++;
            }
        }
        return buckets;
    }

    private static double meanPerSecond(int[] buckets, int from, int to) {
        long sum = 0;
        for (int i = from; i < to; i++) {
            sum += buckets[i];
        }
        return sum * (double) BUCKETS_PER_SECOND / (to - from);
    }

    String text() {
        return seconds.isPresent() ? String.format(java.util.Locale.ROOT, "%.1f s", seconds.getAsDouble()) : "never";
    }
}
