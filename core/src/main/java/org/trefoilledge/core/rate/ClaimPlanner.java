package org.trefoilledge.core.rate;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.Incarnation;
import org.trefoilledge.core.ZoneId;

/**
 * Selects the claims that a node tries to acquire. Each zone has two candidates. Candidates for a free claim are
 * ordered by rendezvous hashing, and each of them waits longer than the one before it, which may have failed. The store
 * decides which node acquires a claim, so candidates may have different views of the membership. Not thread-safe.
 */
public final class ClaimPlanner {
    /** Two candidates, so that a zone has another one immediately when the first fails. */
    private static final int CANDIDATES_PER_ZONE = 2;
    /** Additional delay of each further candidate. */
    private static final long CANDIDATE_DELAY_MILLIS = 400;

    private final HostId self;
    private final Incarnation incarnation;
    private final ZoneId zone;
    private final List<RateClaim> claims;
    private final Map<RateClaim, Long> unclaimedSinceMillis = new HashMap<>();
    private final Map<RateClaim, List<HostId>> candidates = new HashMap<>();
    /** The nodes from which {@link #candidates} were selected. */
    private Map<HostId, ZoneId> knownNodes = Map.of();

    /** The host that holds a claim, and the incarnation of its node. */
    public record Holder(HostId host, Incarnation incarnation) {
        // The generated methods of a record are slow before JIT compilation.
        @Override
        public boolean equals(Object other) {
            return other instanceof Holder that && that.host.equals(host) && that.incarnation.equals(incarnation);
        }

        @Override
        public int hashCode() {
            return 31 * host.hashCode() + incarnation.hashCode();
        }
    }

    /**
     * Creates a planner for one incarnation of a node.
     *
     * @param zones all zones; each has a reserve
     */
    public ClaimPlanner(HostId self, Incarnation incarnation, ZoneId zone, List<ZoneId> zones) {
        this.self = self;
        this.incarnation = incarnation;
        this.zone = zone;
        List<RateClaim> all = new ArrayList<>();
        for (int shard = 0; shard < RateClaim.SHARDS; shard++) {
            for (int part = 0; part < RateClaim.PARTS; part++) {
                all.add(RateClaim.shard(shard, part));
            }
        }
        zones.forEach(each -> all.add(RateClaim.reserve(each)));
        claims = List.copyOf(all);
    }

    /**
     * Returns the claims that this node should try to acquire now.
     *
     * @param nodes zone of each node, including this one; empty if only claims of an earlier incarnation may be
     *     acquired
     * @param holders holder of each claim according to the store
     */
    public List<RateClaim> claimsToAcquire(Map<HostId, ZoneId> nodes, Map<RateClaim, Holder> holders, long now) {
        if (!nodes.equals(knownNodes)) {
            knownNodes = Map.copyOf(nodes);
            candidates.clear();
        }
        List<RateClaim> result = new ArrayList<>();
        for (RateClaim claim : claims) {
            Holder holder = holders.get(claim);
            if (holder != null) {
                unclaimedSinceMillis.remove(claim);
                // The earlier incarnation of this host has ended, so its claims are no longer in use.
                if (holder.host().equals(self) && !holder.incarnation().equals(incarnation)) {
                    result.add(claim);
                }
                continue;
            }
            if (nodes.isEmpty()) {
                continue;
            }
            int position =
                    candidates.computeIfAbsent(claim, this::selectCandidates).indexOf(self);
            long since = unclaimedSinceMillis.computeIfAbsent(claim, free -> now);
            if (position >= 0 && now - since >= position * CANDIDATE_DELAY_MILLIS) {
                result.add(claim);
            }
        }
        return result;
    }

    private List<HostId> selectCandidates(RateClaim claim) {
        if (claim.isReserve()) {
            return claim.equals(RateClaim.reserve(zone))
                    ? ZoneDelegates.of(zone, knownNodes, CANDIDATES_PER_ZONE)
                    : List.of();
        }
        List<ZoneId> zones = knownNodes.values().stream()
                .distinct()
                .sorted(Comparator.comparingLong((ZoneId each) -> claim.rendezvousScore(each.value()))
                        .thenComparing(ZoneId::value))
                .toList();
        List<HostId> candidates = new ArrayList<>();
        // The parts of a shard start at different zones, so that no zone owns both parts if there are several zones.
        for (int i = 0; i < zones.size(); i++) {
            ZoneId each = zones.get((i + claim.part()) % zones.size());
            List<HostId> delegates = new ArrayList<>(ZoneDelegates.of(each, knownNodes, CANDIDATES_PER_ZONE));
            if (zones.size() == 1) {
                Collections.rotate(delegates, claim.part());
            }
            candidates.addAll(delegates);
        }
        return candidates;
    }
}
