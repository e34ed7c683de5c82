package org.trefoilledge.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.Incarnation;
import org.trefoilledge.core.RouteId;
import org.trefoilledge.core.ServiceId;
import org.trefoilledge.core.ZoneId;
import org.trefoilledge.core.overload.LoadReport;
import org.trefoilledge.core.placement.PlacementExplanation.PassedOver;

class PlacementExplainerTest {
    private static final ZoneId NEAR = new ZoneId("near");
    private static final ZoneId DISTANT = new ZoneId("distant");
    private static final ServiceId STOCK = new ServiceId("stock");
    private static final RouteId ROUTE = new RouteId("stock");
    private static final HostId SELF = new HostId("self");
    private static final PlacementSettings SETTINGS = PlacementSettings.defaults(SELF);
    /** Draws after which every upstream of the choice has been placed at least once in practice. */
    private static final int DRAWS = 600;

    private final Placer placer = new Placer(SELF, NEAR, SETTINGS);

    private static Candidate candidate(String host, ZoneId zone) {
        return new Candidate(new HostId(host), zone, STOCK, "127.0.0.1:1", new Incarnation(1), 10);
    }

    private static Set<HostId> choice(PlacementExplanation explanation) {
        Set<HostId> hosts = new HashSet<>();
        explanation.choice().forEach(figures -> hosts.add(figures.host()));
        return hosts;
    }

    private static PassedOver reason(PlacementExplanation explanation, String host) {
        return explanation.entries().stream()
                .filter(entry -> entry.figures().host().value().equals(host))
                .findFirst()
                .orElseThrow()
                .passedOver()
                .orElseThrow();
    }

    private PlacementExplanation explain(Set<HostId> silent, Set<HostId> backedOff) {
        return placer.explain(STOCK, silent::contains, backedOff::contains, 0);
    }

    @Test
    void ejectedUpstreamIsPassedOver() {
        placer.updateCandidates(List.of(candidate("n0", NEAR), candidate("n1", NEAR), candidate("n2", NEAR)));
        placer.recordEnd(new HostId("n0"), Optional.empty(), false, 0);
        placer.recordEnd(new HostId("n0"), Optional.empty(), false, 0);
        PlacementExplanation explanation = explain(Set.of(), Set.of());

        assertThat(reason(explanation, "n0")).isEqualTo(PassedOver.EJECTED);
        assertThat(choice(explanation)).containsExactlyInAnyOrder(new HostId("n1"), new HostId("n2"));
        assertThat(explanation.entries().get(2).figures().ejectedMillis()).isEqualTo(1_000);
    }

    @Test
    void silentAndBackedOffUpstreamsAreUsedOnlyIfNoOtherIsLeft() {
        placer.updateCandidates(List.of(candidate("n0", NEAR), candidate("n1", NEAR), candidate("n2", NEAR)));
        PlacementExplanation explanation = explain(Set.of(new HostId("n0")), Set.of(new HostId("n1")));
        assertThat(reason(explanation, "n0")).isEqualTo(PassedOver.SILENT);
        assertThat(reason(explanation, "n1")).isEqualTo(PassedOver.BACKED_OFF);
        assertThat(choice(explanation)).containsExactly(new HostId("n2"));

        Set<HostId> all = Set.of(new HostId("n0"), new HostId("n1"), new HostId("n2"));
        assertThat(choice(explain(all, Set.of()))).isEqualTo(all);
    }

    @Test
    void noUpstreamOfTheServiceLeavesNoChoice() {
        assertThat(explain(Set.of(), Set.of()).entries()).isEmpty();
    }

    @Test
    void localHostIsTheOnlyChoiceWhileItHasCapacity() {
        placer.updateCandidates(List.of(candidate("self", NEAR), candidate("n1", NEAR), candidate("d1", DISTANT)));
        PlacementExplanation explanation = explain(Set.of(), Set.of());

        assertThat(choice(explanation)).containsExactly(SELF);
        assertThat(reason(explanation, "n1")).isEqualTo(PassedOver.LOCAL_HOST_PREFERRED);
    }

    /** Guards against an explanation that no longer follows a change of the placer. */
    @Test
    void explanationAgreesWithPlacementInRandomStates() {
        SplittableRandom random = new SplittableRandom(7);
        for (int state = 0; state < 400; state++) {
            PlacementSettings settings = state % 2 == 0 ? SETTINGS : SETTINGS.withExpectedTime();
            Placer other = new Placer(SELF, NEAR, settings);
            Set<HostId> avoided = randomState(other, random);
            PlacementExplanation explanation = other.explain(STOCK, avoided::contains, host -> false, 100);
            Set<HostId> placed = new HashSet<>();
            for (int draw = 0; draw < DRAWS; draw++) {
                other.place(STOCK, avoided, 100, random)
                        .or(() -> other.place(STOCK, Set.of(), 100, random))
                        .ifPresent(candidate -> placed.add(candidate.host()));
            }

            assertThat(choice(explanation)).as("state %d", state).containsAll(placed);
            if (placed.size() < explanation.choice().size()) {
                // Between zones, a pair of upstreams can be too rare to be drawn, or excluded by a third one.
                assertThat(explanation.choice().stream()
                                .map(UpstreamFigures::zone)
                                .distinct())
                        .as("state %d", state)
                        .hasSize(2);
            }
        }
    }

    private static Set<HostId> randomState(Placer placer, SplittableRandom random) {
        List<Candidate> candidates = new ArrayList<>();
        for (int i = random.nextInt(5); i > 0; i--) {
            candidates.add(candidate("n" + i, NEAR));
        }
        for (int i = random.nextInt(4); i > 0; i--) {
            candidates.add(candidate("d" + i, DISTANT));
        }
        if (random.nextInt(3) == 0) {
            candidates.add(candidate("self", NEAR));
        }
        placer.updateCandidates(candidates);
        Set<HostId> avoided = new HashSet<>();
        for (Candidate candidate : candidates) {
            HostId host = candidate.host();
            placer.recordEnd(host, Optional.of(new LoadReport(random.nextInt(14), 10, 0, 0)), true, 0);
            placer.recordServiceTime(host, ROUTE, 5 + random.nextInt(20), 0);
            placer.recordOutcome(host, random.nextInt(4) == 0, 0);
            for (int i = random.nextInt(4); i > 2; i--) {
                placer.recordEnd(host, Optional.empty(), false, 0);
                placer.recordEnd(host, Optional.empty(), false, 0);
            }
            if (random.nextInt(6) == 0) {
                avoided.add(host);
            }
        }
        return avoided;
    }
}
