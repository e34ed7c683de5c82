package org.trefoilledge.core.overload;

import java.util.Arrays;
import org.trefoilledge.core.Importance;

/**
 * The admission level of one organisation: the rank below which a guard refuses its calls. Calls are ranked by
 * importance class and then by the hash of the root request, so that every hop of a call tree makes the same decision.
 * The level rises just far enough to shed the share of calls that the guard had to refuse, and decays to zero
 * within 2 s while the organisation has no queued calls.
 */
public final class AdmissionLevel {
    /** Number of ranks; a level of this value would refuse everything. */
    public static final int RANKS = 4 * 1024;

    private static final int RANKS_PER_CLASS = 1024;
    private static final int RANKS_PER_BUCKET = 64;
    private static final long MIN_WINDOW_MILLIS = 50;
    private static final long MAX_WINDOW_MILLIS = 500;
    /** With fewer calls in a window, the measured share of refused calls is too noisy. */
    private static final int MIN_WINDOW_CALLS = 32;
    /** Largest share of the calls above the level that one window adds to the shed calls. */
    private static final double MAX_SHARE_SHED_PER_WINDOW = 0.9;

    private static final long DECAY_MILLIS = 2_000;
    /** Refusals per started call that do not raise the level, so that the queue does not run empty. */
    private static final double TOLERATED_REFUSAL_RATIO = 0.05;

    private final int[] arrivalsByBucket = new int[RANKS / RANKS_PER_BUCKET];
    private double level;
    private int countArrived;
    private int countRefused;
    private int countStarted;
    private int countQueued;
    private long windowStartMillis = -1;

    /** Returns the rank of a root request, from 0 (shed first) to {@link #RANKS} - 1 (shed last). */
    public static int rank(Importance importance, int rootHash) {
        int lessImportantClasses = 3 - classIndex(importance);
        return lessImportantClasses * RANKS_PER_CLASS + (rootHash & (RANKS_PER_CLASS - 1));
    }

    /** Returns the index of an importance class, from 0 for the most important class to 3. */
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

    /** Counts an arrived call. Calls below the level are ignored, because they are shed anyway. */
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

    /** Adjusts the level at the end of a measurement window. */
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
        double remaining = share * countArrived;
        while (remaining > 0 && bucket < arrivalsByBucket.length) {
            double part = arrivalsByBucket[bucket] == 0 ? 1 : Math.min(1, remaining / arrivalsByBucket[bucket]);
            double top = (bucket + 1) * RANKS_PER_BUCKET;
            level += (top - level) * part;
            remaining -= arrivalsByBucket[bucket];
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
