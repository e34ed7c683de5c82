package org.trefoilledge.core.overload;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.random.RandomGenerator;
import org.trefoilledge.core.Importance;
import org.trefoilledge.core.OrganisationId;
import org.trefoilledge.core.RouteId;

/**
 * The admission levels of routes and organisations at an entry node, averaged from responses and decayed by age. The
 * entry node admits or sheds a call tree as a whole. The methods without an organisation use one level per route for
 * all organisations. Thread-safe.
 */
public final class SheddingTable {
    /** An unconfirmed level decays to zero within this time, as in {@link AdmissionLevel}. */
    private static final long DECAY_MILLIS = 2_000;

    private static final long RETRY_AFTER_BASE_MILLIS = 250;
    private static final int TIME_BITS = 46;
    private static final long TIME_MASK = (1L << TIME_BITS) - 1;
    /** Levels are stored in quarters of a rank, so that small steps of the average are not lost to rounding. */
    private static final int UNITS_PER_RANK = 4;

    private static final int MAX_SCALED_LEVEL = AdmissionLevel.RANKS * UNITS_PER_RANK;

    private static final OrganisationId ALL_ORGANISATIONS = new OrganisationId("all");

    /** Each value holds the scaled level in the upper bits and the time of the last response in the lower bits. */
    private final ConcurrentMap<RouteId, ConcurrentMap<OrganisationId, AtomicLong>> packedLevels =
            new ConcurrentHashMap<>();

    /** Returns whether a root request is admitted. */
    public boolean admits(RouteId route, Importance importance, int rootHash, long now) {
        return admits(route, ALL_ORGANISATIONS, importance, rootHash, now);
    }

    /** Returns whether a root request of the organisation is admitted. */
    public boolean admits(RouteId route, OrganisationId organisation, Importance importance, int rootHash, long now) {
        return AdmissionLevel.rank(importance, rootHash) * UNITS_PER_RANK >= scaledLevel(route, organisation, now);
    }

    /** Updates the level from the admission level of a response, the highest in its call tree. */
    public void observe(RouteId route, int admissionLevel, long now) {
        observe(route, ALL_ORGANISATIONS, admissionLevel, now);
    }

    /** Updates the level from the admission level of a response to a request of the organisation. */
    public void observe(RouteId route, OrganisationId organisation, int admissionLevel, long now) {
        AtomicLong state = packedLevel(route, organisation);
        if (state == null) {
            if (admissionLevel <= 0) {
                return;
            }
            state = packedLevels
                    .computeIfAbsent(route, r -> new ConcurrentHashMap<>())
                    .computeIfAbsent(organisation, o -> new AtomicLong(now & TIME_MASK));
        }
        int observed = Math.min(admissionLevel, AdmissionLevel.RANKS) * UNITS_PER_RANK;
        state.updateAndGet(old -> merge(old, observed, now));
    }

    /** Returns how many milliseconds a shed caller should wait, with jitter. The time grows with the level. */
    public long retryAfterMillis(RouteId route, long now, RandomGenerator random) {
        return retryAfterMillis(route, ALL_ORGANISATIONS, now, random);
    }

    /** Returns how many milliseconds a shed caller of the organisation should wait, with jitter. */
    public long retryAfterMillis(RouteId route, OrganisationId organisation, long now, RandomGenerator random) {
        long base = RETRY_AFTER_BASE_MILLIS
                + 3 * RETRY_AFTER_BASE_MILLIS * scaledLevel(route, organisation, now) / MAX_SCALED_LEVEL;
        return base / 2 + random.nextLong(base);
    }

    private int scaledLevel(RouteId route, OrganisationId organisation, long now) {
        AtomicLong state = packedLevel(route, organisation);
        return state == null ? 0 : decayedLevel(state.get(), now);
    }

    private AtomicLong packedLevel(RouteId route, OrganisationId organisation) {
        Map<OrganisationId, AtomicLong> byOrganisation = packedLevels.get(route);
        return byOrganisation == null ? null : byOrganisation.get(organisation);
    }

    /**
     * Averages the observed level into the stored one. Higher levels are adopted faster than lower ones, because the
     * upstreams of a route differ and late shedding costs more than shedding too much for a short time.
     */
    private static long merge(long state, int observed, long now) {
        int current = decayedLevel(state, now);
        int step = observed - current;
        int next = step > 0 ? current + (step + 3) / 4 : current + step / 16;
        return ((long) next << TIME_BITS) | (now & TIME_MASK);
    }

    private static int decayedLevel(long state, long now) {
        int level = (int) (state >>> TIME_BITS);
        long age = Math.max(0, (now & TIME_MASK) - (state & TIME_MASK));
        return (int) Math.max(0, level - age * MAX_SCALED_LEVEL / DECAY_MILLIS);
    }
}
