package org.trefoilledge.core.overload;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.random.RandomGenerator;
import org.trefoilledge.core.Importance;
import org.trefoilledge.core.RouteId;

/**
 * The admission level of each route at an entry node, learned from responses and decayed by age. A call tree is
 * admitted or shed here as a whole. Thread-safe.
 */
public final class SheddingTable {
    /** A level that is not confirmed falls to zero within this time, as at the guard. */
    private static final long FALL_MILLIS = 2_000;

    private static final long RETRY_BASE_MILLIS = 250;
    private static final int TIME_BITS = 46;
    private static final long TIME_MASK = (1L << TIME_BITS) - 1;
    /** Levels are stored in quarters of a rank, which keeps small steps of the average from being rounded away. */
    private static final int SCALE = 4;

    private static final int FULL = AdmissionLevel.RANKS * SCALE;

    /** For each route the level in the upper bits and the time of the last response in the lower bits. */
    private final ConcurrentMap<RouteId, AtomicLong> levels = new ConcurrentHashMap<>();

    /** Returns whether a root request is to be served. */
    public boolean admits(RouteId route, Importance importance, int rootHash, long now) {
        AtomicLong state = levels.get(route);
        return state == null || AdmissionLevel.rank(importance, rootHash) * SCALE >= decayed(state.get(), now);
    }

    /** Takes over the admission level of a response, the highest of its subtree. */
    public void observe(RouteId route, int admissionLevel, long now) {
        AtomicLong state = levels.get(route);
        if (state == null) {
            if (admissionLevel <= 0) {
                return;
            }
            state = levels.computeIfAbsent(route, r -> new AtomicLong(now & TIME_MASK));
        }
        int seen = Math.min(admissionLevel, AdmissionLevel.RANKS) * SCALE;
        state.updateAndGet(old -> merged(old, seen, now));
    }

    /** Returns how long a shed caller should wait, with jitter; longer for a higher level. */
    public long retryAfterMillis(RouteId route, long now, RandomGenerator random) {
        AtomicLong state = levels.get(route);
        int level = state == null ? 0 : decayed(state.get(), now);
        long base = RETRY_BASE_MILLIS + 3 * RETRY_BASE_MILLIS * level / FULL;
        return base / 2 + random.nextLong(base);
    }

    /**
     * Follows a higher level faster than a lower one: the upstreams of a route differ, and late shedding costs more
     * than a short excess of it.
     */
    private static long merged(long state, int seen, long now) {
        int current = decayed(state, now);
        int step = seen - current;
        int next = step > 0 ? current + (step + 3) / 4 : current + step / 16;
        return ((long) next << TIME_BITS) | (now & TIME_MASK);
    }

    private static int decayed(long state, long now) {
        int level = (int) (state >>> TIME_BITS);
        long age = Math.max(0, (now & TIME_MASK) - (state & TIME_MASK));
        return (int) Math.max(0, level - age * FULL / FALL_MILLIS);
    }
}
