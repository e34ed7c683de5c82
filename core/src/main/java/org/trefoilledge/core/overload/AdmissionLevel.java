package org.trefoilledge.core.overload;

import java.util.Arrays;
import org.trefoilledge.core.Importance;

/**
 * The rank below which a guard refuses the calls of one organisation. The rank orders calls by importance class and
 * then by the hash of the root request, so that every hop of a call tree decides alike. The level rises just far
 * enough to shed the calls that the guard had to refuse; while the organisation has nothing queued, it falls to zero
 * within 2 s.
 */
public final class AdmissionLevel {
    /** Number of ranks; a level of this value would refuse everything. */
    public static final int RANKS = 4 * 1024;

    private static final int RANKS_PER_CLASS = 1024;
    private static final int RANKS_PER_BUCKET = 64;
    private static final long MIN_WINDOW_MILLIS = 50;
    private static final long MAX_WINDOW_MILLIS = 500;
    /** Fewer calls in a window say little about the share that has to be shed. */
    private static final int MIN_WINDOW_CALLS = 32;
    /** One window sheds at most this share of the calls above the level. */
    private static final double MAX_SHARE_SHED_PER_WINDOW = 0.9;

    private static final long DECAY_MILLIS = 2_000;
    /** Refusals up to this share of the calls that run are accepted, so that the queue does not run dry. */
    private static final double TOLERATED_REFUSAL_RATIO = 0.05;

    private final int[] arrivalsByBucket = new int[RANKS / RANKS_PER_BUCKET];
    private double level;
    private int countArrived;
    private int countRefused;
    private int countStarted;
    private int countQueued;
    private long windowStartMillis = -1;

    /** Returns the rank of a root request, from 0 (refused first) to {@link #RANKS} - 1 (refused last). */
    public static int rank(Importance importance, int rootHash) {
        int lessImportantClasses = 3 - classIndex(importance);
        return lessImportantClasses * RANKS_PER_CLASS + (rootHash & (RANKS_PER_CLASS - 1));
    }

    /** Returns the position of the class in the order of service, from 0 (first) to 3. */
    static int classIndex(Importance importance) {
        return switch (importance) {
            case CRITICAL -> 0;
            case HIGH -> 1;
            case NORMAL -> 2;
            case LOW -> 3;
        };
    }

    /** Returns the level, rounded down. */
    public int value() {
        return (int) level;
    }

    /** Counts a call that arrived. Calls below the level do not count, because they are refused anyway. */
    void countArrived(int rank) {
        if (rank >= level) {
            arrivalsByBucket[rank / RANKS_PER_BUCKET]++;
            countArrived++;
        }
    }

    void countQueued() {
        countQueued++;
    }

    void countDequeued() {
        countQueued--;
    }

    void countStarted() {
        countStarted++;
    }

    /** Counts a refused call, unless the level has risen above it since it arrived. */
    void countRefused(int rank) {
        if (rank >= level) {
            countRefused++;
        }
    }

    boolean isIdle() {
        return countQueued == 0 && level == 0;
    }

    void update(long now) {
        if (windowStartMillis < 0) {
            windowStartMillis = now;
        }
        long age = now - windowStartMillis;
        int decided = countRefused + countStarted;
        if (age < MIN_WINDOW_MILLIS || (countRefused > 0 && decided < MIN_WINDOW_CALLS && age < MAX_WINDOW_MILLIS)) {
            return;
        }
        double excess = countRefused - countStarted * TOLERATED_REFUSAL_RATIO;
        if (excess > 0) {
            raise(Math.min(MAX_SHARE_SHED_PER_WINDOW, excess / decided));
        } else if (countQueued == 0) {
            level = Math.max(0, level - (double) RANKS * age / DECAY_MILLIS);
        }
        startWindow(now);
    }

    /** Raises the level by the given share of the calls that arrived above it. */
    private void raise(double share) {
        int bucket = (int) level / RANKS_PER_BUCKET;
        double left = share * countArrived;
        while (left > 0 && bucket < arrivalsByBucket.length) {
            double part = arrivalsByBucket[bucket] == 0 ? 1 : Math.min(1, left / arrivalsByBucket[bucket]);
            double top = (bucket + 1) * RANKS_PER_BUCKET;
            level += (top - level) * part;
            left -= arrivalsByBucket[bucket];
            bucket++;
        }
        level = Math.min(level, RANKS - 1);
    }

    private void startWindow(long now) {
        windowStartMillis = now;
        countArrived = 0;
        countRefused = 0;
        countStarted = 0;
        Arrays.fill(arrivalsByBucket, 0);
    }
}
