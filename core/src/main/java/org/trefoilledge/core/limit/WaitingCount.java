package org.trefoilledge.core.limit;

/** Counts the requests that wait for a token, each for at most the wait time. Not thread-safe. */
final class WaitingCount {
    private static final int CELLS = 8;

    private final long cellMillis;
    private final long[] counts = new long[CELLS];
    private long cell = Long.MIN_VALUE;
    private long total;

    WaitingCount(long waitMillis) {
        cellMillis = Math.max(1, (waitMillis + CELLS - 2) / (CELLS - 1));
    }

    void add(long now) {
        advance(now);
        counts[index(cell)]++;
        total++;
    }

    /** One waiting request got its token; the oldest is counted as served. */
    void served() {
        for (int i = 1; i <= CELLS; i++) {
            int index = index(cell + i);
            if (counts[index] > 0) {
                counts[index]--;
                total--;
                return;
            }
        }
    }

    long count(long now) {
        advance(now);
        return total;
    }

    private void advance(long now) {
        long current = Math.floorDiv(now, cellMillis);
        if (cell == Long.MIN_VALUE) {
            cell = current;
        }
        for (int i = 0; i < CELLS && cell < current; i++) {
            cell++;
            int index = index(cell);
            total -= counts[index];
            counts[index] = 0;
        }
        cell = Math.max(cell, current);
    }

    private static int index(long cell) {
        return (int) Math.floorMod(cell, CELLS);
    }
}
