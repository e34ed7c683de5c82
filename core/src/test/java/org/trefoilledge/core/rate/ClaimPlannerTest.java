package org.trefoilledge.core.rate;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.Incarnation;
import org.trefoilledge.core.ZoneId;

class ClaimPlannerTest {
    private static final List<ZoneId> ZONES = List.of(new ZoneId("a"), new ZoneId("b"), new ZoneId("c"));
    private static final int HOSTS_PER_ZONE = 5;
    private static final Incarnation FIRST = new Incarnation(1);

    private final Map<HostId, ZoneId> nodes = new HashMap<>();
    private final Map<HostId, ClaimPlanner> planners = new HashMap<>();
    private final Map<RateClaim, ClaimPlanner.Holder> holders = new HashMap<>();

    ClaimPlannerTest() {
        for (ZoneId zone : ZONES) {
            for (int i = 0; i < HOSTS_PER_ZONE; i++) {
                nodes.put(new HostId(zone + "-" + i), zone);
            }
        }
        nodes.forEach((host, zone) -> planners.put(host, new ClaimPlanner(host, FIRST, zone, ZONES)));
    }

    @Test
    void firstCandidateTriesEachFreeClaim() {
        Map<RateClaim, List<HostId>> attempts = attemptsAt(0);

        assertThat(attempts).hasSize(RateClaim.PARTS * RateClaim.SHARDS + ZONES.size());
        assertThat(attempts.values()).allSatisfy(hosts -> assertThat(hosts).hasSize(1));
    }

    @Test
    void firstCandidatesOfBothPartsAreInDifferentZones() {
        Map<RateClaim, List<HostId>> attempts = attemptsAt(0);

        for (int shard = 0; shard < RateClaim.SHARDS; shard++) {
            HostId one = attempts.get(RateClaim.shard(shard, 0)).get(0);
            HostId other = attempts.get(RateClaim.shard(shard, 1)).get(0);
            assertThat(nodes.get(one)).isNotEqualTo(nodes.get(other));
        }
    }

    @Test
    void reserveOfAZoneIsOnlyTriedInThatZone() {
        attemptsAt(0);
        Map<RateClaim, List<HostId>> attempts = attemptsAt(10_000);

        for (ZoneId zone : ZONES) {
            assertThat(attempts.get(RateClaim.reserve(zone)))
                    .allSatisfy(host -> assertThat(nodes.get(host)).isEqualTo(zone));
        }
    }

    @Test
    void freeClaimIsTriedByFurtherCandidatesOverTime() {
        RateClaim claim = RateClaim.shard(0, 0);
        int first = attemptsAt(0).get(claim).size();
        int soon = attemptsAt(400).get(claim).size();
        int late = attemptsAt(10_000).get(claim).size();

        assertThat(List.of(first, soon, late)).isEqualTo(List.of(1, 2, 2 * ZONES.size()));
    }

    @Test
    void claimHeldByAnotherNodeIsNotTried() {
        attemptsAt(0);
        holders.put(RateClaim.shard(0, 0), new ClaimPlanner.Holder(new HostId("a-0"), FIRST));

        assertThat(attemptsAt(10_000)).doesNotContainKey(RateClaim.shard(0, 0));
    }

    @Test
    void restartedNodeReacquiresClaimsOfItsEarlierRun() {
        HostId host = new HostId("a-0");
        holders.put(RateClaim.shard(0, 0), new ClaimPlanner.Holder(host, FIRST));
        planners.put(host, new ClaimPlanner(host, new Incarnation(2), ZONES.get(0), ZONES));

        assertThat(attemptsAt(0).get(RateClaim.shard(0, 0))).containsExactly(host);
    }

    @Test
    void nodeWithoutMembershipTriesOnlyClaimsOfItsEarlierRun() {
        HostId host = new HostId("a-0");
        holders.put(RateClaim.shard(0, 0), new ClaimPlanner.Holder(host, FIRST));
        ClaimPlanner restarted = new ClaimPlanner(host, new Incarnation(2), ZONES.get(0), ZONES);

        assertThat(restarted.claimsToAcquire(Map.of(), holders, 60_000)).containsExactly(RateClaim.shard(0, 0));
    }

    @Test
    void restartedNodeWithSmallerIncarnationReacquiresClaimsOfItsEarlierRun() {
        HostId host = new HostId("a-0");
        holders.put(RateClaim.shard(0, 0), new ClaimPlanner.Holder(host, new Incarnation(7)));

        assertThat(attemptsAt(0).get(RateClaim.shard(0, 0))).containsExactly(host);
    }

    private Map<RateClaim, List<HostId>> attemptsAt(long now) {
        Map<RateClaim, List<HostId>> attempts = new HashMap<>();
        planners.forEach((host, planner) -> planner.claimsToAcquire(nodes, holders, now)
                .forEach(claim ->
                        attempts.computeIfAbsent(claim, c -> new ArrayList<>()).add(host)));
        return attempts;
    }
}
