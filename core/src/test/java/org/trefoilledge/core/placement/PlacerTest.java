package org.trefoilledge.core.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.junit.jupiter.api.Test;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.Incarnation;
import org.trefoilledge.core.ServiceId;
import org.trefoilledge.core.ZoneId;
import org.trefoilledge.core.overload.LoadReport;

class PlacerTest {
    private static final ZoneId LOCAL_ZONE = new ZoneId("near");
    private static final ZoneId OTHER_ZONE = new ZoneId("distant");
    private static final ServiceId STOCK = new ServiceId("stock");
    private static final HostId LOCAL_HOST = new HostId("self");
    private static final PlacementSettings SETTINGS = PlacementSettings.defaults(LOCAL_HOST);

    private final Placer placer = new Placer(LOCAL_HOST, LOCAL_ZONE, SETTINGS);
    private final RandomGenerator random = new SplittableRandom(1);

    private static Candidate candidate(String host, ZoneId zone, long incarnation) {
        return new Candidate(new HostId(host), zone, STOCK, "127.0.0.1:1", new Incarnation(incarnation), 10);
    }

    private static Candidate cold(String host, ZoneId zone) {
        return new Candidate(new HostId(host), zone, STOCK, "127.0.0.1:1", new Incarnation(1), 10, true);
    }

    private static List<Candidate> candidates(String prefix, ZoneId zone, int count) {
        List<Candidate> candidates = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            candidates.add(candidate(prefix + i, zone, 1));
        }
        return candidates;
    }

    private Set<String> placedHosts(Placer usedPlacer, long now, Set<HostId> excluded) {
        Set<String> hosts = new HashSet<>();
        for (int i = 0; i < 500; i++) {
            usedPlacer
                    .place(STOCK, excluded, now, random)
                    .ifPresent(c -> hosts.add(c.host().value()));
        }
        return hosts;
    }

    private Set<String> placedHosts(long now) {
        return placedHosts(placer, now, Set.of());
    }

    private void recordUnreachable(String host, int times, long now) {
        for (int i = 0; i < times; i++) {
            placer.recordEnd(new HostId(host), Optional.empty(), false, now);
        }
    }

    private void recordReport(String host, int inFlight, long now) {
        placer.recordEnd(new HostId(host), Optional.of(new LoadReport(inFlight, 10, 0, 0)), true, now);
    }

    /** Sends sequential calls to a service of which host n0 fails a fraction; returns the number of calls to n0. */
    private int countCallsToFailingHost(int calls, double failureRatio) {
        int count = 0;
        for (int i = 0; i < calls; i++) {
            long now = i;
            Candidate chosen = placer.place(STOCK, Set.of(), now, random).orElseThrow();
            boolean toFailingHost = chosen.host().value().equals("n0");
            count += toFailingHost ? 1 : 0;
            placer.recordOutcome(chosen.host(), toFailingHost && random.nextDouble() < failureRatio, now);
        }
        return count;
    }

    @Test
    void localHostIsPreferredWhileItHasCapacity() {
        List<Candidate> all = candidates("n", LOCAL_ZONE, 4);
        all.add(candidate("self", LOCAL_ZONE, 1));
        placer.updateCandidates(all);
        recordReport("self", 5, 0);
        assertThat(placedHosts(0)).containsExactly("self");
        recordReport("self", 6, 0);

        assertThat(placedHosts(0)).contains("n0", "n1", "n2", "n3");
    }

    @Test
    void otherHostsServeWhenLocalUpstreamFailsOrIsExcluded() {
        List<Candidate> all = candidates("n", LOCAL_ZONE, 4);
        all.add(candidate("self", LOCAL_ZONE, 1));
        placer.updateCandidates(all);
        assertThat(placedHosts(placer, 0, Set.of(LOCAL_HOST))).doesNotContain("self");
        for (int i = 0; i < 20; i++) {
            placer.recordOutcome(LOCAL_HOST, true, 0);
        }

        assertThat(placedHosts(0)).contains("n0", "n1", "n2", "n3");
    }

    @Test
    void reachableUpstreamThatFailsHalfOfItsCallsReceivesFewCalls() {
        placer.updateCandidates(candidates("n", LOCAL_ZONE, 4));

        assertThat(countCallsToFailingHost(4_000, 0.5)).isLessThan(4_000 / 10);
    }

    @Test
    void upstreamWithRareFailuresReceivesItsShare() {
        placer.updateCandidates(candidates("n", LOCAL_ZONE, 4));

        assertThat(countCallsToFailingHost(4_000, 0.01)).isBetween(800, 1_200);
    }

    @Test
    void failedUpstreamIsTriedAgain() {
        placer.updateCandidates(candidates("n", LOCAL_ZONE, 2));
        for (int i = 0; i < 50; i++) {
            placer.recordOutcome(new HostId("n0"), true, 0);
        }

        assertThat(placedHosts(0)).containsExactly("n1");
        assertThat(placedHosts(6_000)).containsExactlyInAnyOrder("n0", "n1");
    }

    @Test
    void otherZoneServesWhenOnlyLocalUpstreamFails() {
        List<Candidate> both = candidates("n", LOCAL_ZONE, 1);
        both.addAll(candidates("d", OTHER_ZONE, 2));
        placer.updateCandidates(both);
        for (int i = 0; i < 50; i++) {
            placer.recordOutcome(new HostId("n0"), true, 0);
        }

        assertThat(placedHosts(0)).containsExactlyInAnyOrder("d0", "d1");
    }

    /** Guards against a new upstream that gets no calls for as long as it is cold. */
    @Test
    void coldUpstreamGetsAFirstCallThoughOthersAreIdle() {
        List<Candidate> all = candidates("n", LOCAL_ZONE, 4);
        all.add(cold("cold", LOCAL_ZONE));
        placer.updateCandidates(all);

        assertThat(placedHosts(0)).contains("cold");
    }

    /** Guards against a full share of the calls for an upstream that handles few. */
    @Test
    void warmUpstreamsArePreferredToATriedColdOne() {
        List<Candidate> all = candidates("n", LOCAL_ZONE, 4);
        all.add(cold("cold", LOCAL_ZONE));
        placer.updateCandidates(all);
        placer.recordOutcome(new HostId("cold"), false, 0);
        placer.recordEnd(new HostId("cold"), Optional.of(new LoadReport(0, 1, 0, 0)), true, 0);

        assertThat(placedHosts(0)).containsExactlyInAnyOrder("n0", "n1", "n2", "n3");
    }

    @Test
    void localColdUpstreamIsNotPreferred() {
        List<Candidate> all = candidates("n", LOCAL_ZONE, 4);
        all.add(cold(LOCAL_HOST.value(), LOCAL_ZONE));
        placer.updateCandidates(all);
        placer.recordOutcome(LOCAL_HOST, false, 0);

        assertThat(placedHosts(0)).containsExactlyInAnyOrder("n0", "n1", "n2", "n3");
    }

    /** Guards against calls that queue behind the rate of a cold upstream while a busy warm one has room. */
    @Test
    void coldUpstreamAboveItsLimitIsAvoided() {
        Candidate warm = candidate("n0", LOCAL_ZONE, 1);
        placer.updateCandidates(List.of(warm, cold("cold", LOCAL_ZONE)));
        placer.recordEnd(new HostId("n0"), Optional.of(new LoadReport(12, 10, 0, 0)), true, 0);
        placer.recordOutcome(new HostId("cold"), false, 0);
        placer.recordEnd(new HostId("cold"), Optional.of(new LoadReport(1, 1, 0, 0)), true, 0);

        assertThat(placedHosts(0)).containsExactly("n0");
        assertThat(placedHosts(100)).containsExactly("n0");
        placer.recordEnd(new HostId("n0"), Optional.of(new LoadReport(12, 10, 0, 0)), true, 900);
        placer.recordEnd(new HostId("cold"), Optional.of(new LoadReport(0, 1, 0, 0)), true, 900);
        assertThat(placedHosts(900)).containsExactly("cold");
    }

    /** Guards against a zone whose upstreams are all cold and refuse most calls, while others have room. */
    @Test
    void warmUpstreamOfAnotherZoneIsPreferredToTriedColdOnes() {
        placer.updateCandidates(
                List.of(cold("c0", LOCAL_ZONE), cold("c1", LOCAL_ZONE), candidate("d0", OTHER_ZONE, 1)));
        for (String host : List.of("c0", "c1")) {
            placer.recordEnd(new HostId(host), Optional.of(new LoadReport(1, 1, 0, 0)), true, 0);
        }

        assertThat(placedHosts(0)).containsExactly("d0");
    }

    @Test
    void coldUpstreamsServeWhenAllAreColdAndFull() {
        placer.updateCandidates(List.of(cold("c0", LOCAL_ZONE), cold("c1", LOCAL_ZONE)));
        for (String host : List.of("c0", "c1")) {
            placer.recordEnd(new HostId(host), Optional.of(new LoadReport(1, 1, 0, 0)), true, 0);
        }

        assertThat(placedHosts(0)).containsExactlyInAnyOrder("c0", "c1");
    }

    @Test
    void serviceWithoutCandidatesHasNoUpstream() {
        assertThat(placer.place(STOCK, Set.of(), 0, random)).isEmpty();
    }

    @Test
    void localZoneIsPreferred() {
        List<Candidate> both = candidates("n", LOCAL_ZONE, 2);
        both.addAll(candidates("d", OTHER_ZONE, 2));
        placer.updateCandidates(both);
        assertThat(placedHosts(0)).containsExactlyInAnyOrder("n0", "n1");
    }

    @Test
    void otherZoneServesWhenLocalZoneHasNoCandidate() {
        placer.updateCandidates(candidates("d", OTHER_ZONE, 1));
        assertThat(placedHosts(0)).containsExactly("d0");
    }

    @Test
    void otherZoneServesWhenLocalZoneIsLoaded() {
        List<Candidate> both = candidates("n", LOCAL_ZONE, 1);
        both.addAll(candidates("d", OTHER_ZONE, 1));
        placer.updateCandidates(both);
        recordReport("n0", 9, 0);
        assertThat(placedHosts(0)).containsExactly("d0");
    }

    @Test
    void localZoneServesWhenZonesAreEquallyLoaded() {
        List<Candidate> both = candidates("n", LOCAL_ZONE, 1);
        both.addAll(candidates("d", OTHER_ZONE, 1));
        placer.updateCandidates(both);
        recordReport("n0", 9, 0);
        recordReport("d0", 9, 0);
        assertThat(placedHosts(0)).containsExactly("n0");
    }

    @Test
    void expiredReportIsIgnored() {
        List<Candidate> both = candidates("n", LOCAL_ZONE, 1);
        both.addAll(candidates("d", OTHER_ZONE, 1));
        placer.updateCandidates(both);
        recordReport("n0", 9, 0);
        assertThat(placedHosts(SETTINGS.maxReportAgeMillis())).containsExactly("n0");
    }

    @Test
    void excludedHostIsNotChosen() {
        placer.updateCandidates(candidates("n", LOCAL_ZONE, 2));
        assertThat(placedHosts(placer, 0, Set.of(new HostId("n0")))).containsExactly("n1");
    }

    @Test
    void excludedHostIsNotChosenEvenIfNoOtherIsLeft() {
        placer.updateCandidates(candidates("n", LOCAL_ZONE, 1));
        assertThat(placedHosts(placer, 0, Set.of(new HostId("n0")))).isEmpty();
    }

    @Test
    void lessLoadedOfTwoHostsIsChosen() {
        placer.updateCandidates(candidates("n", LOCAL_ZONE, 2));
        placer.recordStart(new HostId("n0"), 0);
        assertThat(placedHosts(0)).containsExactly("n1");
    }

    @Test
    void withoutTwoChoicesLoadIsIgnored() {
        Placer withoutChoices = new Placer(LOCAL_HOST, LOCAL_ZONE, SETTINGS.withMechanisms(false, true));
        withoutChoices.updateCandidates(candidates("n", LOCAL_ZONE, 2));
        withoutChoices.recordStart(new HostId("n0"), 0);
        assertThat(placedHosts(withoutChoices, 0, Set.of())).hasSize(2);
    }

    @Test
    void unreachableHostIsEjectedAfterConsecutiveFailures() {
        placer.updateCandidates(candidates("n", LOCAL_ZONE, 2));
        recordUnreachable("n0", 2, 0);
        assertThat(placedHosts(0)).containsExactly("n1");
    }

    @Test
    void responseBetweenFailuresPreventsEjection() {
        placer.updateCandidates(candidates("n", LOCAL_ZONE, 2));
        recordUnreachable("n0", 1, 0);
        recordReport("n0", 0, 0);
        recordUnreachable("n0", 1, 0);
        assertThat(placedHosts(0)).hasSize(2);
    }

    @Test
    void ejectedHostIsTriedAgainAfterEjectionTime() {
        placer.updateCandidates(candidates("n", LOCAL_ZONE, 2));
        recordUnreachable("n0", 2, 0);
        assertThat(placedHosts(SETTINGS.initialEjectionMillis())).hasSize(2);
    }

    @Test
    void repeatedEjectionLastsLonger() {
        placer.updateCandidates(candidates("n", LOCAL_ZONE, 2));
        recordUnreachable("n0", 2, 0);
        recordUnreachable("n0", 1, 1_000);
        assertThat(placedHosts(2_500)).containsExactly("n1");
    }

    @Test
    void atMostHalfOfTheHostsAreEjected() {
        placer.updateCandidates(candidates("n", LOCAL_ZONE, 4));
        for (int i = 0; i < 4; i++) {
            recordUnreachable("n" + i, 2, 0);
        }
        assertThat(placedHosts(0)).containsExactlyInAnyOrder("n2", "n3");
    }

    @Test
    void withoutEjectionUnreachableHostIsStillChosen() {
        Placer withoutEjection = new Placer(LOCAL_HOST, LOCAL_ZONE, SETTINGS.withMechanisms(true, false));
        withoutEjection.updateCandidates(candidates("n", LOCAL_ZONE, 2));
        for (int i = 0; i < 5; i++) {
            withoutEjection.recordEnd(new HostId("n0"), Optional.empty(), false, 0);
        }
        assertThat(placedHosts(withoutEjection, 0, Set.of())).hasSize(2);
    }

    @Test
    void restartedHostIsNoLongerEjected() {
        placer.updateCandidates(candidates("n", LOCAL_ZONE, 2));
        recordUnreachable("n0", 2, 0);
        placer.updateCandidates(List.of(candidate("n0", LOCAL_ZONE, 2), candidate("n1", LOCAL_ZONE, 1)));
        assertThat(placedHosts(0)).hasSize(2);
    }

    @Test
    void ejectionSurvivesUpdateOfOtherHosts() {
        placer.updateCandidates(candidates("n", LOCAL_ZONE, 2));
        recordUnreachable("n0", 2, 0);
        placer.updateCandidates(candidates("n", LOCAL_ZONE, 3));
        assertThat(placedHosts(0)).containsExactlyInAnyOrder("n1", "n2");
    }

    @Test
    void largeServiceIsLimitedToSubset() {
        placer.updateCandidates(candidates("n", LOCAL_ZONE, 100));
        assertThat(placedHosts(0)).hasSize(20);
    }

    @Test
    void removingHostChangesAtMostOneSubsetMember() {
        List<Candidate> all = candidates("n", LOCAL_ZONE, 100);
        placer.updateCandidates(all);
        Set<String> before = placedHosts(0);
        placer.updateCandidates(all.subList(1, all.size()));
        before.removeAll(placedHosts(0));
        assertThat(before).hasSizeLessThanOrEqualTo(1);
    }

    @Test
    void nodesUseDifferentSubsets() {
        Placer other = new Placer(LOCAL_HOST, LOCAL_ZONE, PlacementSettings.defaults(new HostId("other")));
        placer.updateCandidates(candidates("n", LOCAL_ZONE, 100));
        other.updateCandidates(candidates("n", LOCAL_ZONE, 100));
        assertThat(placedHosts(0)).isNotEqualTo(placedHosts(other, 0, Set.of()));
    }

    @Test
    void duplicateHostIsRejected() {
        List<Candidate> twice = List.of(candidate("n0", LOCAL_ZONE, 1), candidate("n0", LOCAL_ZONE, 2));
        assertThatThrownBy(() -> placer.updateCandidates(twice)).hasMessageContaining("host is listed twice: n0");
    }
}
