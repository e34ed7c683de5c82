package org.trefoilledge.core.limit;

/** Counts the requests that wait for a token, each for at most the wait time. Not thread-safe. */
final class WaitingRequests {
    private static final int INTERVALS = 8;

    private final long intervalMillis;
    private final long[] counts = new long[INTERVALS];
    private long latestInterval = Long.MIN_VALUE;
    private long total;

    WaitingRequests(long waitMillis) {
        intervalMillis = Math.max(1, (waitMillis + INTERVALS - 2) / (INTERVALS - 1));
    }

    void add(long now) {
        advance(now);
        counts[index(latestInterval)]++;
        total++;
    }

    /** Removes the oldest waiting request after one of them received a token. */
    void removeOldest() {
        for (int i = 1; i <= INTERVALS; i++) {
            int index = index(latestInterval + i);
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
        long current = Math.floorDiv(now, intervalMillis);
        if (latestInterval == Long.MIN_VALUE) {
            latestInterval = current;
        }
        for (int i = 0; i < INTERVALS && latestInterval < current; i++) {
            latestInterval++;
            int index = index(latestInterval);
            total -= counts[index];
            counts[index] = 0;
        }
        latestInterval = Math.max(latestInterval, current);
    }

    private static int index(long interval) {
        return (int) Math.floorMod(interval, INTERVALS);
    }
}
