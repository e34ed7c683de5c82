package org.trefoilledge.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.OrganisationId;
import org.trefoilledge.core.ZoneId;
import org.trefoilledge.core.routing.OrganisationPolicy;

/**
 * Simulates rate limits while many organisations send few requests each, spread over many nodes, so that a node rarely
 * receives a request of one organisation. Every organisation stays below its limit, except the hot one for a while, so
 * each refusal that is counted is wrong.
 */
class LimitSimulationTest {
    private static final FleetShape LARGE_FLEET = new FleetShape(95, 6, 90, 0.1, 20, 5_000);
    private static final FleetShape SMALL_FLEET = new FleetShape(16, 4, 8, 0.1, 20, 5_000);
    private static final long WARM_UP_MILLIS = 12_000;
    private static final long END_MILLIS = 42_000;
    private static final long FAULT_START_MILLIS = 18_000;
    private static final OrganisationId HOT = new OrganisationId("org-1");

    /** Faults and demand beside the usual demand. */
    private enum Schedule {
        CALM,
        ZONE_CUT,
        RESTARTS,
        OWNER_PAUSED,
        OWNER_PAUSED_FOR_LONG,
        STORE_AWAY,
        HOT_ORGANISATION,
        ALL_TOGETHER
    }

    /** One simulation: counts requests and wrong refusals, and compares each window with its limit. */
    private static final class Run {
        private final VirtualTime time = new VirtualTime();
        private final FleetShape shape;
        private final LimitMechanism mechanism;
        private final Random random;
        private final Map<OrganisationId, OrganisationPolicy> policies = new HashMap<>();
        private final Map<OrganisationId, Deque<Long>> admitted = new HashMap<>();
        private boolean hot;
        private long requestCount;
        private long refusedCount;
        private double highestWindowUse;

        Run(FleetShape shape, long seed, Function<VirtualTime, LimitMechanism> mechanism) {
            this.shape = shape;
            this.random = new Random(seed);
            shape.policies().forEach(policy -> policies.put(policy.id(), policy));
            this.mechanism = mechanism.apply(time);
        }

        Run execute(Schedule schedule) {
            scheduleFaults(schedule);
            for (int i = 0; i < shape.organisations(); i++) {
                scheduleNextRequest(i);
            }
            time.runUntil(END_MILLIS);
            return this;
        }

        private void scheduleFaults(Schedule schedule) {
            boolean all = schedule == Schedule.ALL_TOGETHER;
            if (all || schedule == Schedule.ZONE_CUT) {
                time.schedule(FAULT_START_MILLIS, () -> mechanism.isolateZone(Optional.of(new ZoneId("zone-1"))));
                time.schedule(FAULT_START_MILLIS + 4_000, () -> mechanism.isolateZone(Optional.empty()));
            }
            if (all || schedule == Schedule.RESTARTS) {
                for (int i = 0; i < shape.nodes(); i += 4) {
                    HostId host = shape.host(i);
                    time.schedule(FAULT_START_MILLIS + random.nextInt(6_000), () -> mechanism.restart(host, 2));
                }
            }
            if (all || schedule == Schedule.OWNER_PAUSED) {
                time.schedule(FAULT_START_MILLIS, () -> mechanism.pauseOwner(HOT, 5_000));
            }
            if (schedule == Schedule.OWNER_PAUSED_FOR_LONG) {
                time.schedule(FAULT_START_MILLIS, () -> mechanism.pauseOwner(HOT, 12_000));
            }
            if (all || schedule == Schedule.STORE_AWAY) {
                time.schedule(FAULT_START_MILLIS, () -> mechanism.setStoreUnavailable(true));
                time.schedule(FAULT_START_MILLIS + 4_000, () -> mechanism.setStoreUnavailable(false));
            }
            if (all || schedule == Schedule.HOT_ORGANISATION) {
                time.schedule(FAULT_START_MILLIS, () -> hot = true);
                time.schedule(FAULT_START_MILLIS + 8_000, () -> hot = false);
            }
        }

        private void scheduleNextRequest(int index) {
            OrganisationId organisation = new OrganisationId("org-" + index);
            boolean isHot = hot && organisation.equals(HOT);
            double perSecond = shape.demandPerSecond(index) * (isHot ? 7.5 : 1);
            long delayMillis = Math.max(1, Math.round(-Math.log(1 - random.nextDouble()) / perSecond * 1_000));
            time.schedule(delayMillis, () -> {
                sendRequest(organisation);
                scheduleNextRequest(index);
            });
        }

        private void sendRequest(OrganisationId organisation) {
            HostId host = shape.host(random.nextInt(shape.nodes()));
            if (!mechanism.acceptsRequests(host)) {
                return;
            }
            boolean withinLimit = !hot || !organisation.equals(HOT);
            boolean counts = time.millis() > WARM_UP_MILLIS && withinLimit;
            requestCount += counts ? 1 : 0;
            mechanism.request(host, organisation, granted -> {
                refusedCount += counts && !granted ? 1 : 0;
                if (granted) {
                    admitted(organisation);
                }
            });
        }

        private void admitted(OrganisationId organisation) {
            Deque<Long> times = admitted.computeIfAbsent(organisation, o -> new ArrayDeque<>());
            times.addLast(time.millis());
            while (times.peekFirst() < time.millis() - shape.windowMillis()) {
                times.pollFirst();
            }
            OrganisationPolicy policy = policies.get(organisation);
            double window = shape.windowMillis() / 1_000.0;
            double limit = (policy.ratePerSecond() * window + policy.burst()) * (1 + shape.over()) + shape.slack();
            highestWindowUse = Math.max(highestWindowUse, times.size() / limit);
        }

        double refusedRatio() {
            return (double) refusedCount / requestCount;
        }
    }

    private static Run simulateOwners(FleetShape shape, long seed, Schedule schedule) {
        return new Run(shape, seed, time -> new SimulatedLimits(time, shape)).execute(schedule);
    }

    @ParameterizedTest
    @CsvSource({
        "CALM, 1, 0.01",
        "CALM, 2, 0.01",
        "RESTARTS, 1, 0.01",
        "RESTARTS, 2, 0.01",
        "OWNER_PAUSED, 1, 0.01",
        "OWNER_PAUSED, 2, 0.01",
        "OWNER_PAUSED_FOR_LONG, 1, 0.01",
        "OWNER_PAUSED_FOR_LONG, 2, 0.01",
        "HOT_ORGANISATION, 1, 0.01",
        "HOT_ORGANISATION, 2, 0.01",
        "STORE_AWAY, 1, 0.03",
        "STORE_AWAY, 2, 0.03",
        "ZONE_CUT, 1, 0.03",
        "ZONE_CUT, 2, 0.03",
        "ALL_TOGETHER, 1, 0.03",
        "ALL_TOGETHER, 2, 0.03",
        "ALL_TOGETHER, 3, 0.03"
    })
    void fewRequestsAreRefusedWronglyAndNoWindowExceedsItsLimit(Schedule schedule, long seed, double maxRefusedRatio) {
        Run run = simulateOwners(LARGE_FLEET, seed, schedule);

        assertThat(run.refusedRatio()).as("refused ratio").isLessThan(maxRefusedRatio);
        assertThat(run.highestWindowUse)
                .as("highest use of a window, as a fraction of its limit")
                .isLessThanOrEqualTo(1);
    }

    @ParameterizedTest
    @CsvSource({"CALM, 1", "HOT_ORGANISATION, 1", "RESTARTS, 1", "OWNER_PAUSED, 1"})
    void smallFleetMeetsTheSameBounds(Schedule schedule, long seed) {
        Run run = simulateOwners(SMALL_FLEET, seed, schedule);

        assertThat(run.refusedRatio()).isLessThan(0.01);
        assertThat(run.highestWindowUse).isLessThanOrEqualTo(1);
    }

    /**
     * Limits are not divided into static shares of the nodes or zones, because shares refuse requests of organisations
     * that are below their limit.
     */
    @Test
    void staticSharesRefuseMoreThanOwners() {
        List<Run> runs = List.of(
                new Run(LARGE_FLEET, 1, time -> StaticShareLimits.byNode(time, LARGE_FLEET)).execute(Schedule.CALM),
                new Run(LARGE_FLEET, 1, time -> StaticShareLimits.byZone(time, LARGE_FLEET)).execute(Schedule.CALM),
                simulateOwners(LARGE_FLEET, 1, Schedule.CALM));

        assertThat(runs.get(0).refusedRatio()).as("equal shares by node").isGreaterThan(0.5);
        assertThat(runs.get(1).refusedRatio())
                .as("equal shares by zone")
                .isGreaterThan(runs.get(2).refusedRatio());
    }
}
