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
 * Decides which claims a node tries to take. Of each zone two nodes are candidates. A free claim goes to the candidate
 * with the highest rendezvous score; the next ones try a little later, in case it is gone. What the store accepts decides
 * who has a claim, so candidates may differ in what they know. Not thread-safe.
 */
public final class ClaimPlanner {
    /** Candidates of each zone; two, so that a zone whose first one is lost has another at once. */
    private static final int CANDIDATES_PER_ZONE = 2;
    /** Time by which each further candidate waits longer. */
    private static final long CANDIDATE_DELAY_MILLIS = 400;

    private final HostId self;
    private final Incarnation incarnation;
    private final ZoneId zone;
    private final List<RateClaim> claims;
    private final Map<RateClaim, Long> unclaimedSinceMillis = new HashMap<>();
    private final Map<RateClaim, List<HostId>> candidates = new HashMap<>();
    /** The nodes from which the candidates were chosen. */
    private Map<HostId, ZoneId> knownNodes = Map.of();

    /** The run of a node that has a claim. */
    public record Holder(HostId host, Incarnation incarnation) {}

    /**
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
     * Returns the claims to try now.
     *
     * @param nodes zone of each node, this one included; empty if only claims of an earlier run are to be taken
     * @param holders who has which claim, as the store shows it
     */
    public List<RateClaim> claimsToAcquire(Map<HostId, ZoneId> nodes, Map<RateClaim, Holder> holders, long now) {
        if (!nodes.equals(knownNodes)) {
            knownNodes = Map.copyOf(nodes);
            candidates.clear();
        }
        List<RateClaim> tries = new ArrayList<>();
        for (RateClaim claim : claims) {
            Holder holder = holders.get(claim);
            if (holder != null) {
                unclaimedSinceMillis.remove(claim);
                // An earlier run of this host is over, so nobody acts on its claims any more.
                if (holder.host().equals(self) && !holder.incarnation().equals(incarnation)) {
                    tries.add(claim);
                }
                continue;
            }
            if (nodes.isEmpty()) {
                continue;
            }
            int rank = candidates.computeIfAbsent(claim, this::selectCandidates).indexOf(self);
            long since = unclaimedSinceMillis.computeIfAbsent(claim, free -> now);
            if (rank >= 0 && now - since >= rank * CANDIDATE_DELAY_MILLIS) {
                tries.add(claim);
            }
        }
        return tries;
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
        // The parts of a shard begin at different zones, so that no zone has both as long as there are two.
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
