package org.trefoilledge.core.overload;

import java.util.Arrays;
import org.trefoilledge.core.Importance;

/**
 * The rank below which a guard refuses calls. The rank orders calls by importance class and then by the hash of the
 * root request, so that every hop of a call tree decides alike. While the queue has a standing delay, the level rises
 * just far enough that the calls above it fit the measured throughput; while the queue is empty, it falls to zero
 * within 2 s.
 */
public final class AdmissionLevel {
    /** Number of ranks; a level of this value would refuse everything. */
    public static final int RANKS = 4 * 1024;

    private static final int HASHES = 1024;
    private static final int RANKS_PER_BUCKET = 64;
    private static final long WINDOW_MILLIS = 50;
    private static final long FALL_MILLIS = 2_000;
    /** The calls above the level exceed throughput by this share, so that the queue does not run dry. */
    private static final double OVERSUBSCRIPTION = 1.05;

    private final int[] arrivals = new int[RANKS / RANKS_PER_BUCKET];
    private double level;
    private int arrived;
    private int completed;
    private long windowStartMillis = -1;

    /** Returns the rank of a root request, from 0 (refused first) to {@link #RANKS} - 1 (refused last). */
    public static int rank(Importance importance, int rootHash) {
        int lessImportantClasses = 3 - order(importance);
        return lessImportantClasses * HASHES + (rootHash & (HASHES - 1));
    }

    /** Returns the position of the class in the order of service, from 0 (first) to 3. */
    static int order(Importance importance) {
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
    void arrived(int rank) {
        if (rank >= level) {
            arrivals[rank / RANKS_PER_BUCKET]++;
            arrived++;
        }
    }

    void completed() {
        completed++;
    }

    void update(boolean standing, boolean empty, long now) {
        if (windowStartMillis < 0) {
            windowStartMillis = now;
        }
        long age = now - windowStartMillis;
        if (age < WINDOW_MILLIS) {
            return;
        }
        if (standing) {
            rise();
        } else if (empty) {
            level = Math.max(0, level - (double) RANKS * age / FALL_MILLIS);
        }
        startWindow(now);
    }

    private void rise() {
        double excess = arrived - Math.max(1, completed * OVERSUBSCRIPTION);
        int bucket = (int) level / RANKS_PER_BUCKET;
        while (excess > 0 && bucket < arrivals.length) {
            double share = arrivals[bucket] == 0 ? 1 : Math.min(1, excess / arrivals[bucket]);
            double top = (bucket + 1) * RANKS_PER_BUCKET;
            level += (top - level) * share;
            excess -= arrivals[bucket];
            bucket++;
        }
        level = Math.min(level, RANKS - 1);
    }

    private void startWindow(long now) {
        windowStartMillis = now;
        arrived = 0;
        completed = 0;
        Arrays.fill(arrivals, 0);
    }
}
