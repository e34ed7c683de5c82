package org.trefoilledge.core.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.trefoilledge.core.OrganisationId;
import org.trefoilledge.core.config.Organisation;

/** Checks that no organisation is admitted more than its rate and burst over any window, under random faults. */
class LimitInvariantTest {
    private static final long DURATION_MILLIS = 40_000;
    /** Longest time until a change of the limits applies to all nodes and loans. */
    private static final long MAX_CHANGE_MILLIS = 21_000;

    private static Organisation organisation(int index, double rate, double burst) {
        return new Organisation(new OrganisationId("org-" + index), rate, burst, List.of());
    }

    private static List<Organisation> organisations(Random random) {
        return List.of(
                organisation(0, 200, 100 + random.nextInt(200)),
                organisation(1, 20 + random.nextInt(100), 5 + random.nextInt(50)),
                organisation(2, 1 + random.nextInt(5), 1 + random.nextInt(10)));
    }

    private static LimitSimulation simulation(long seed, Random random) {
        LimitSimulation simulation = new LimitSimulation(
                seed, 2 + random.nextInt(3), 2 + random.nextInt(3), organisations(random), LimitSettings.DEFAULT, true);
        simulation.lossProbability = random.nextDouble() * 0.1;
        simulation.slowMessageProbability = random.nextDouble() * 0.1;
        return simulation;
    }

    /** Schedules bursts on random nodes, far beyond the limits. */
    private static void scheduleDemand(LimitSimulation simulation, Random random) {
        for (Organisation organisation : simulation.revisions.get(0)) {
            double perMilli = organisation.rate() * 3 / 1_000;
            for (long at = 0; at < DURATION_MILLIS; at += 1 + random.nextInt(400)) {
                int node = random.nextInt(simulation.nodes.size());
                int count = (int) Math.ceil(perMilli * random.nextInt(400));
                for (int i = 0; i < count; i++) {
                    simulation.request(organisation.id(), node, at + random.nextInt(20));
                }
            }
        }
    }

    private static void assertWithinLimits(LimitSimulation simulation, long seed, List<Long> changedAt) {
        for (Organisation first : simulation.revisions.get(0)) {
            ExactTokenBucket exactBucket = new ExactTokenBucket(first.burst(), 0);
            for (long at : simulation.admissions.getOrDefault(first.id(), List.of())) {
                double rate = first.rate();
                double burst = first.burst();
                for (int i = 0; i < changedAt.size(); i++) {
                    Organisation changed = simulation
                            .revisions
                            .get(i + 1)
                            .get(simulation.revisions.get(0).indexOf(first));
                    boolean settled = at > changedAt.get(i) + MAX_CHANGE_MILLIS;
                    boolean begun = at >= changedAt.get(i);
                    rate = settled ? changed.rate() : begun ? Math.max(rate, changed.rate()) : rate;
                    burst = settled ? changed.burst() : begun ? Math.max(burst, changed.burst()) : burst;
                }
                assertThat(exactBucket.take(rate, burst, at))
                        .as("seed %d, %s at %d ms", seed, first.id(), at)
                        .isTrue();
            }
        }
    }

    @Property(tries = 60, shrinking = ShrinkingMode.OFF)
    void admissionsStayWithinRateAndBurstUnderFaults(@ForAll long seed) {
        Random random = new Random(seed);
        LimitSimulation simulation = simulation(seed, random);
        scheduleDemand(simulation, random);
        for (int i = 0; i < 6; i++) {
            long at = random.nextInt((int) DURATION_MILLIS);
            int node = random.nextInt(simulation.nodes.size());
            switch (random.nextInt(4)) {
                case 0 -> simulation.schedule(at, () -> simulation.crash(node, 100 + random.nextInt(20_000)));
                case 1 -> simulation.schedule(at, () -> simulation.pause(node, random.nextInt(6_000)));
                case 2 ->
                    simulation.schedule(
                            at,
                            () -> simulation.isolatedZone =
                                    simulation.zones.get(random.nextInt(simulation.zones.size())));
                default -> simulation.schedule(at, () -> simulation.isolatedZone = null);
            }
        }
        simulation.run(DURATION_MILLIS);
        assertWithinLimits(simulation, seed, List.of());
    }

    @Property(tries = 25, shrinking = ShrinkingMode.OFF)
    void admissionsStayWithinTheHigherLimitsWhileAChangeSpreads(@ForAll long seed) {
        Random random = new Random(seed);
        LimitSimulation simulation = simulation(seed, random);
        scheduleDemand(simulation, random);
        List<Organisation> changed = new ArrayList<>();
        for (Organisation before : simulation.revisions.get(0)) {
            double factor = 0.3 + 3 * random.nextDouble();
            changed.add(new Organisation(
                    before.id(), before.rate() * factor, Math.max(1, before.burst() * factor), List.of()));
        }
        simulation.schedule(9_000, () -> simulation.configure(changed));
        simulation.run(DURATION_MILLIS);
        assertWithinLimits(simulation, seed, List.of(9_000L));
    }
}
