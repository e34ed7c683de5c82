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
    private static final ZoneId NEAR = new ZoneId("near");
    private static final ZoneId DISTANT = new ZoneId("distant");
    private static final ServiceId STOCK = new ServiceId("stock");
    private static final HostId SELF = new HostId("self");
    private static final PlacementSettings SETTINGS = PlacementSettings.defaults(SELF);

    private final Placer placer = new Placer(SELF, NEAR, SETTINGS);
    private final RandomGenerator random = new SplittableRandom(1);

    private static Candidate candidate(String host, ZoneId zone, long incarnation) {
        return new Candidate(new HostId(host), zone, STOCK, "127.0.0.1:1", new Incarnation(incarnation), 10);
    }

    private static List<Candidate> candidates(String prefix, ZoneId zone, int count) {
        List<Candidate> candidates = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            candidates.add(candidate(prefix + i, zone, 1));
        }
        return candidates;
    }

    private Set<String> placed(Placer chosen, long now, Set<HostId> excluded) {
        Set<String> hosts = new HashSet<>();
        for (int i = 0; i < 500; i++) {
            chosen.place(STOCK, excluded, now, random)
                    .ifPresent(c -> hosts.add(c.host().value()));
        }
        return hosts;
    }

    private Set<String> placed(long now) {
        return placed(placer, now, Set.of());
    }

    private void fail(String host, int times, long now) {
        for (int i = 0; i < times; i++) {
            placer.finished(new HostId(host), Optional.empty(), false, now);
        }
    }

    private void report(String host, int inFlight, long now) {
        placer.finished(new HostId(host), Optional.of(new LoadReport(inFlight, 10, 0, 0)), true, now);
    }

    /** Sends calls, one after the other, to a service of which one upstream fails a part; returns who got how many. */
    private int callsOfTheGreyOne(int calls, double failingPart) {
        int grey = 0;
        for (int i = 0; i < calls; i++) {
            long now = i;
            Candidate chosen = placer.place(STOCK, Set.of(), now, random).orElseThrow();
            boolean isGrey = chosen.host().value().equals("n0");
            grey += isGrey ? 1 : 0;
            placer.answered(chosen.host(), isGrey && random.nextDouble() < failingPart, now);
        }
        return grey;
    }

    @Test
    void aCallStaysOnItsOwnHostWhileThatHasRoom() {
        List<Candidate> all = candidates("n", NEAR, 4);
        all.add(candidate("self", NEAR, 1));
        placer.update(all);
        report("self", 5, 0);
        assertThat(placed(0)).containsExactly("self");
        report("self", 6, 0);

        assertThat(placed(0)).contains("n0", "n1", "n2", "n3");
    }

    @Test
    void aCallLeavesItsOwnHostIfTheUpstreamThereFailsOrIsExcluded() {
        List<Candidate> all = candidates("n", NEAR, 4);
        all.add(candidate("self", NEAR, 1));
        placer.update(all);
        assertThat(placed(placer, 0, Set.of(SELF))).doesNotContain("self");
        for (int i = 0; i < 20; i++) {
            placer.answered(SELF, true, 0);
        }

        assertThat(placed(0)).contains("n0", "n1", "n2", "n3");
    }

    @Test
    void anUpstreamThatFailsHalfOfItsCallsWhileItsHealthIsGoodGetsFewOfThem() {
        placer.update(candidates("n", NEAR, 4));

        assertThat(callsOfTheGreyOne(4_000, 0.5)).isLessThan(4_000 / 10);
    }

    @Test
    void anUpstreamThatFailsACallNowAndThenGetsItsPart() {
        placer.update(candidates("n", NEAR, 4));

        assertThat(callsOfTheGreyOne(4_000, 0.01)).isBetween(800, 1_200);
    }

    @Test
    void anUpstreamThatHasFailedIsTriedAgain() {
        placer.update(candidates("n", NEAR, 2));
        for (int i = 0; i < 50; i++) {
            placer.answered(new HostId("n0"), true, 0);
        }

        assertThat(placed(0)).containsExactly("n1");
        assertThat(placed(6_000)).containsExactlyInAnyOrder("n0", "n1");
    }

    @Test
    void anotherZoneServesWhileTheOnlyUpstreamOfTheOwnOneFails() {
        List<Candidate> both = candidates("n", NEAR, 1);
        both.addAll(candidates("d", DISTANT, 2));
        placer.update(both);
        for (int i = 0; i < 50; i++) {
            placer.answered(new HostId("n0"), true, 0);
        }

        assertThat(placed(0)).containsExactlyInAnyOrder("d0", "d1");
    }

    @Test
    void serviceWithoutCandidatesHasNoPlace() {
        assertThat(placer.place(STOCK, Set.of(), 0, random)).isEmpty();
    }

    @Test
    void ownZoneIsPreferred() {
        List<Candidate> both = candidates("n", NEAR, 2);
        both.addAll(candidates("d", DISTANT, 2));
        placer.update(both);
        assertThat(placed(0)).containsExactlyInAnyOrder("n0", "n1");
    }

    @Test
    void otherZoneServesWhenTheOwnHasNoCandidate() {
        placer.update(candidates("d", DISTANT, 1));
        assertThat(placed(0)).containsExactly("d0");
    }

    @Test
    void otherZoneServesWhenTheOwnIsLoaded() {
        List<Candidate> both = candidates("n", NEAR, 1);
        both.addAll(candidates("d", DISTANT, 1));
        placer.update(both);
        report("n0", 9, 0);
        assertThat(placed(0)).containsExactly("d0");
    }

    @Test
    void ownZoneServesWhenBothAreLoadedAlike() {
        List<Candidate> both = candidates("n", NEAR, 1);
        both.addAll(candidates("d", DISTANT, 1));
        placer.update(both);
        report("n0", 9, 0);
        report("d0", 9, 0);
        assertThat(placed(0)).containsExactly("n0");
    }

    @Test
    void oldReportNoLongerCounts() {
        List<Candidate> both = candidates("n", NEAR, 1);
        both.addAll(candidates("d", DISTANT, 1));
        placer.update(both);
        report("n0", 9, 0);
        assertThat(placed(SETTINGS.reportMillis())).containsExactly("n0");
    }

    @Test
    void excludedHostIsNotChosen() {
        placer.update(candidates("n", NEAR, 2));
        assertThat(placed(placer, 0, Set.of(new HostId("n0")))).containsExactly("n1");
    }

    @Test
    void excludedHostIsNotChosenEvenWhenItIsTheLast() {
        placer.update(candidates("n", NEAR, 1));
        assertThat(placed(placer, 0, Set.of(new HostId("n0")))).isEmpty();
    }

    @Test
    void lessLoadedOfTwoIsChosen() {
        placer.update(candidates("n", NEAR, 2));
        placer.started(new HostId("n0"), 0);
        assertThat(placed(0)).containsExactly("n1");
    }

    @Test
    void withoutTwoChoicesLoadIsIgnored() {
        Placer blind = new Placer(SELF, NEAR, SETTINGS.withMechanisms(false, true));
        blind.update(candidates("n", NEAR, 2));
        blind.started(new HostId("n0"), 0);
        assertThat(placed(blind, 0, Set.of())).hasSize(2);
    }

    @Test
    void unreachableHostIsEjectedAfterConsecutiveFailures() {
        placer.update(candidates("n", NEAR, 2));
        fail("n0", 2, 0);
        assertThat(placed(0)).containsExactly("n1");
    }

    @Test
    void responseBetweenFailuresPreventsEjection() {
        placer.update(candidates("n", NEAR, 2));
        fail("n0", 1, 0);
        report("n0", 0, 0);
        fail("n0", 1, 0);
        assertThat(placed(0)).hasSize(2);
    }

    @Test
    void ejectedHostIsTriedAgainAfterItsTime() {
        placer.update(candidates("n", NEAR, 2));
        fail("n0", 2, 0);
        assertThat(placed(SETTINGS.ejectionMillis())).hasSize(2);
    }

    @Test
    void hostThatFailsAgainIsEjectedForLonger() {
        placer.update(candidates("n", NEAR, 2));
        fail("n0", 2, 0);
        fail("n0", 1, 1_000);
        assertThat(placed(2_500)).containsExactly("n1");
    }

    @Test
    void atMostHalfOfTheHostsAreEjected() {
        placer.update(candidates("n", NEAR, 4));
        for (int i = 0; i < 4; i++) {
            fail("n" + i, 2, 0);
        }
        assertThat(placed(0)).containsExactlyInAnyOrder("n2", "n3");
    }

    @Test
    void withoutEjectionAFailedHostIsStillChosen() {
        Placer trusting = new Placer(SELF, NEAR, SETTINGS.withMechanisms(true, false));
        trusting.update(candidates("n", NEAR, 2));
        for (int i = 0; i < 5; i++) {
            trusting.finished(new HostId("n0"), Optional.empty(), false, 0);
        }
        assertThat(placed(trusting, 0, Set.of())).hasSize(2);
    }

    @Test
    void restartedHostIsNoLongerEjected() {
        placer.update(candidates("n", NEAR, 2));
        fail("n0", 2, 0);
        placer.update(List.of(candidate("n0", NEAR, 2), candidate("n1", NEAR, 1)));
        assertThat(placed(0)).hasSize(2);
    }

    @Test
    void ejectionSurvivesAnUpdateOfOtherHosts() {
        placer.update(candidates("n", NEAR, 2));
        fail("n0", 2, 0);
        placer.update(candidates("n", NEAR, 3));
        assertThat(placed(0)).containsExactlyInAnyOrder("n1", "n2");
    }

    @Test
    void largeServiceIsUsedThroughASubset() {
        placer.update(candidates("n", NEAR, 100));
        assertThat(placed(0)).hasSize(20);
    }

    @Test
    void removalOfAHostChangesTheSubsetByAtMostOne() {
        List<Candidate> all = candidates("n", NEAR, 100);
        placer.update(all);
        Set<String> before = placed(0);
        placer.update(all.subList(1, all.size()));
        before.removeAll(placed(0));
        assertThat(before).hasSizeLessThanOrEqualTo(1);
    }

    @Test
    void nodesUseDifferentSubsets() {
        Placer other = new Placer(SELF, NEAR, PlacementSettings.defaults(new HostId("other")));
        placer.update(candidates("n", NEAR, 100));
        other.update(candidates("n", NEAR, 100));
        assertThat(placed(0)).isNotEqualTo(placed(other, 0, Set.of()));
    }

    @Test
    void hostThatIsListedTwiceIsRejected() {
        List<Candidate> twice = List.of(candidate("n0", NEAR, 1), candidate("n0", NEAR, 2));
        assertThatThrownBy(() -> placer.update(twice)).hasMessageContaining("host is listed twice: n0");
    }
}
