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

    private static final int HASHES = 1024;
    private static final int RANKS_PER_BUCKET = 64;
    private static final long WINDOW_MILLIS = 50;
    private static final long LONGEST_WINDOW_MILLIS = 500;
    /** Fewer calls in a window say little about the share that has to be shed. */
    private static final int WINDOW_CALLS = 32;
    /** One window sheds at most this share of the calls above the level. */
    private static final double LARGEST_STEP = 0.9;

    private static final long FALL_MILLIS = 2_000;
    /** Refusals up to this share of the calls that run are accepted, so that the queue does not run dry. */
    private static final double OVERSUBSCRIPTION = 0.05;

    private final int[] arrivals = new int[RANKS / RANKS_PER_BUCKET];
    private double level;
    private int arrived;
    private int refused;
    private int started;
    private int queued;
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

    void queued() {
        queued++;
    }

    void leftQueue() {
        queued--;
    }

    void started() {
        started++;
    }

    /** Counts a refused call, unless the level has risen above it since it arrived. */
    void refused(int rank) {
        if (rank >= level) {
            refused++;
        }
    }

    boolean idle() {
        return queued == 0 && level == 0;
    }

    void update(long now) {
        if (windowStartMillis < 0) {
            windowStartMillis = now;
        }
        long age = now - windowStartMillis;
        int decided = refused + started;
        if (age < WINDOW_MILLIS || (refused > 0 && decided < WINDOW_CALLS && age < LONGEST_WINDOW_MILLIS)) {
            return;
        }
        double excess = refused - started * OVERSUBSCRIPTION;
        if (excess > 0) {
            rise(Math.min(LARGEST_STEP, excess / decided));
        } else if (queued == 0) {
            level = Math.max(0, level - (double) RANKS * age / FALL_MILLIS);
        }
        startWindow(now);
    }

    /** Raises the level by the given share of the calls that arrived above it. */
    private void rise(double share) {
        int bucket = (int) level / RANKS_PER_BUCKET;
        double left = share * arrived;
        while (left > 0 && bucket < arrivals.length) {
            double part = arrivals[bucket] == 0 ? 1 : Math.min(1, left / arrivals[bucket]);
            double top = (bucket + 1) * RANKS_PER_BUCKET;
            level += (top - level) * part;
            left -= arrivals[bucket];
            bucket++;
        }
        level = Math.min(level, RANKS - 1);
    }

    private void startWindow(long now) {
        windowStartMillis = now;
        arrived = 0;
        refused = 0;
        started = 0;
        Arrays.fill(arrivals, 0);
    }
}
