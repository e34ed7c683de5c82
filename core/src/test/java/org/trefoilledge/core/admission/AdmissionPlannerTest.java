package org.trefoilledge.core.admission;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.trefoilledge.core.RouteId;
import org.trefoilledge.core.ServiceId;
import org.trefoilledge.core.routing.TrafficSplit;

/**
 * Tests plans for a surge on a call tree whose deepest service has few slots. A list makes eight lookups there, an
 * order four and a status none.
 */
class AdmissionPlannerTest {
    private static final ServiceId FRONT = new ServiceId("front");
    private static final ServiceId DEEP = new ServiceId("deep");
    private static final RouteId LIST = new RouteId("list");
    private static final RouteId ORDER = new RouteId("order");
    private static final RouteId STATUS = new RouteId("status");
    private static final RouteId LOOKUP = new RouteId("lookup");
    private static final RequestClass LISTS = new RequestClass(LIST, 2);
    private static final RequestClass ORDERS = new RequestClass(ORDER, 0);
    private static final RequestClass STATUSES = new RequestClass(STATUS, 2);

    @Test
    void admitsEverythingWithinCapacity() {
        AdmissionPlan plan = plan(new AdmissionPlanner(), 100, 50, 100, 0, 0);

        assertThat(plan.admittedFraction(LISTS)).isEqualTo(1);
        assertThat(plan.admittedFraction(ORDERS)).isEqualTo(1);
    }

    @Test
    void shedsLessImportantClassThatNeedsSaturatedService() {
        AdmissionPlan plan = plan(new AdmissionPlanner(), 500, 100, 100, 40, 0);

        // Orders need 100 * 60 ms = 6 slots, lists 500 * 120 ms = 60 slots, of 40 * 0.92 = 36.8.
        assertThat(plan.admittedFraction(ORDERS)).isEqualTo(1);
        assertThat(plan.admittedFraction(LISTS)).isCloseTo((36.8 - 6) / 60, within(0.03));
    }

    @Test
    void admitsRequestsThatDoNotNeedSaturatedService() {
        assertThat(plan(new AdmissionPlanner(), 500, 100, 100, 40, 0).admittedFraction(STATUSES))
                .isEqualTo(1);
    }

    @Test
    void longQueuesTightenPlanAndFreeSlotsRelaxItDespiteQueueing() {
        AdmissionPlanner planner = new AdmissionPlanner();
        double initial = plan(planner, 500, 100, 100, 40, 0).admittedFraction(LISTS);
        double queued = initial;
        for (int i = 0; i < 5; i++) {
            queued = plan(planner, 500, 100, 100, 40, 80).admittedFraction(LISTS);
        }
        double relaxed = queued;
        for (int i = 0; i < 20; i++) {
            relaxed = plan(planner, 500, 100, 100, 20, 80).admittedFraction(LISTS);
        }

        assertThat(queued).isLessThan(initial);
        assertThat(relaxed).isGreaterThan(queued);
    }

    @Test
    void serviceWithoutSlotsLeavesMinimumFraction() {
        List<NodeLoad> nodes = List.of(NodeLoad.of(
                FRONT,
                10,
                0,
                0,
                Map.of(LISTS, 10.0),
                Map.of(LIST, new RouteLoad(10, 50, Map.of(LOOKUP, 8.0)), LOOKUP, new RouteLoad(0, 0, Map.of()))));
        AdmissionPlan plan = new AdmissionPlanner().plan(nodes, AdmissionPlannerTest::split, 0);

        assertThat(plan.admittedFraction(LISTS)).isBetween(0.05, 1.0);
    }

    @Test
    void sumsByServiceYieldSamePlanAsNodeLoads() {
        List<NodeLoad> nodes = new ArrayList<>();
        for (int i = 1; i <= 10; i++) {
            nodes.add(NodeLoad.of(
                    FRONT,
                    40,
                    10 * i,
                    i,
                    Map.of(LISTS, 50.0 * i, ORDERS, 10.0),
                    Map.of(
                            LIST, new RouteLoad(50 * i, 60 + i, Map.of(LOOKUP, 8.0)),
                            ORDER, new RouteLoad(10, 80 + i, Map.of(LOOKUP, 4.0)))));
            nodes.add(
                    NodeLoad.of(DEEP, 4 + i, i, 3 * i, Map.of(), Map.of(LOOKUP, new RouteLoad(100 * i, 15, Map.of()))));
        }
        AdmissionPlan planOfNodes = new AdmissionPlanner().plan(nodes, AdmissionPlannerTest::split, 0);
        AdmissionPlan planOfSums =
                new AdmissionPlanner().plan(NodeLoad.sumByService(nodes), AdmissionPlannerTest::split, 0);

        assertThat(planOfNodes.admittedFraction(LISTS)).isLessThan(0.9);
        assertThat(planOfSums.admittedFraction(LISTS)).isCloseTo(planOfNodes.admittedFraction(LISTS), within(1e-6));
        assertThat(planOfSums.admittedFraction(ORDERS)).isCloseTo(planOfNodes.admittedFraction(ORDERS), within(1e-6));
    }

    @Test
    void gateAdmitsPlannedFractionEvenly() {
        AdmissionGate gate = new AdmissionGate();
        gate.plan(new AdmissionPlan(Map.of(LISTS, 0.25)));
        int admitted = 0;
        for (int i = 0; i < 100; i++) {
            admitted += gate.admit(LISTS) ? 1 : 0;
        }

        assertThat(admitted).isEqualTo(25);
        assertThat(gate.admit(ORDERS)).isTrue();
    }

    private static AdmissionPlan plan(
            AdmissionPlanner planner,
            double lists,
            double orders,
            double statuses,
            double busySlots,
            double queueDelayMillis) {
        NodeLoad front = NodeLoad.of(
                FRONT,
                400,
                100,
                0,
                Map.of(LISTS, lists, ORDERS, orders, STATUSES, statuses),
                Map.of(
                        LIST, new RouteLoad(lists, 60, Map.of(LOOKUP, 8.0)),
                        ORDER, new RouteLoad(orders, 80, Map.of(LOOKUP, 4.0)),
                        STATUS, new RouteLoad(statuses, 150, Map.of())));
        NodeLoad deep = NodeLoad.of(
                DEEP, 40, busySlots, queueDelayMillis, Map.of(), Map.of(LOOKUP, new RouteLoad(1_000, 15, Map.of())));
        return planner.plan(List.of(front, deep), AdmissionPlannerTest::split, 0);
    }

    private static TrafficSplit split(RouteId route) {
        return TrafficSplit.single(route.equals(LOOKUP) ? DEEP : FRONT);
    }
}
