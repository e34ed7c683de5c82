package org.trefoilledge.sidecar;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.trefoilledge.core.Clock;
import org.trefoilledge.core.RouteId;
import org.trefoilledge.core.ServiceId;
import org.trefoilledge.core.admission.CallRatios;
import org.trefoilledge.core.admission.NodeLoad;
import org.trefoilledge.core.admission.RequestClass;
import org.trefoilledge.core.admission.RouteLoad;

/** Counts what arrives at this node and runs at its upstream, and averages it. Used on the traffic thread. */
final class LoadMeter {
    /** Time over which rates are averaged: short, because a surge has to be answered within a second. */
    private static final double RATE_AVERAGING_MILLIS = 600;
    /** Time over which durations are averaged. */
    private static final double HOLD_AVERAGING_MILLIS = 2_000;

    private static final double NEGLIGIBLE_PER_SECOND = 0.01;

    /** Root requests since the last interval, as a multiple of what was usual, from which the load presses. */
    private static final double SURGE_FACTOR = 2;
    /** A few requests more than usual are no surge. */
    private static final double SURGE_SLACK_REQUESTS = 4;

    private final Clock clock;
    private final ServiceId service;
    private final CallRatios callRatios = new CallRatios();
    private final Map<RequestClass, Double> arrivalRates = new HashMap<>();
    private final Map<RouteId, Double> executionRates = new HashMap<>();
    private final Map<RouteId, Double> meanHoldMillis = new HashMap<>();
    private final Map<RequestClass, Double> arrived = new HashMap<>();
    private final Map<RouteId, Double> started = new HashMap<>();
    private final Map<RouteId, double[]> ended = new HashMap<>();
    private double busySlotMillis;
    private int busySlots;
    private long integratedUntilMillis;
    private double waitMillisSum;
    private int waitCount;
    private double meanBusySlots;
    private double meanWaitMillis;
    private long intervalStartMillis;
    private double arrivalCount;
    private double totalArrivalRate;
    /** Read by the control thread. */
    private volatile boolean underPressure;

    LoadMeter(ServiceId service, Clock clock) {
        this.service = service;
        this.clock = clock;
        this.intervalStartMillis = clock.millis();
        this.integratedUntilMillis = intervalStartMillis;
    }

    /** Counts a root request of a caller. */
    void arrived(RequestClass requests) {
        arrived.merge(requests, 1.0, Double::sum);
        arrivalCount++;
        double seconds = (double) (clock.millis() - intervalStartMillis) / 1_000;
        if (!underPressure && arrivalCount > SURGE_FACTOR * totalArrivalRate * seconds + SURGE_SLACK_REQUESTS) {
            underPressure = true;
        }
    }

    /** Notes that calls wait for a slot or find no upstream. */
    void recordPressure() {
        underPressure = true;
    }

    /**
     * Returns whether, since the last interval ended, calls have waited or found no upstream, or a surge has begun. May be
     * called from any thread.
     */
    boolean underPressure() {
        return underPressure;
    }

    /** Counts a call that the upstream makes. */
    void called(RouteId route) {
        callRatios.called(route, clock.millis());
    }

    /** Counts the start of an execution and the time for which it waited. */
    void started(RouteId route, long waitedMillis) {
        started.merge(route, 1.0, Double::sum);
        callRatios.started(route, clock.millis());
        waitMillisSum += (double) waitedMillis;
        waitCount++;
        integrateBusySlots();
        busySlots++;
    }

    /** Counts the end of an execution. */
    void ended(RouteId route, long heldMillis) {
        callRatios.ended(route, clock.millis());
        double[] sum = ended.computeIfAbsent(route, r -> new double[2]);
        sum[0] += (double) heldMillis;
        sum[1]++;
        integrateBusySlots();
        busySlots--;
    }

    /** Returns whether executions of the route are known to make calls of their own. */
    boolean makesCalls(RouteId route) {
        return !callRatios.of(route).isEmpty();
    }

    private void integrateBusySlots() {
        long now = clock.millis();
        busySlotMillis += (double) busySlots * (double) (now - integratedUntilMillis);
        integratedUntilMillis = now;
    }

    /**
     * Ends an interval and returns the averages.
     *
     * @param slots slots of the upstream, 0 if it takes no work
     * @param oldestWaitMillis age of the oldest call that waits now
     */
    NodeLoad sample(int slots, long oldestWaitMillis) {
        integrateBusySlots();
        long now = clock.millis();
        double elapsed = Math.max(1.0, (double) (now - intervalStartMillis));
        intervalStartMillis = now;
        double fresh = 1 - Math.exp(-elapsed / RATE_AVERAGING_MILLIS);
        callRatios.update(now);
        updateAverages(arrivalRates, arrived, elapsed, fresh);
        updateAverages(executionRates, started, elapsed, fresh);
        double freshHold = 1 - Math.exp(-elapsed / HOLD_AVERAGING_MILLIS);
        ended.forEach((route, sum) ->
                meanHoldMillis.merge(route, sum[0] / sum[1], (old, latest) -> old + (latest - old) * freshHold));
        meanBusySlots += (busySlotMillis / elapsed - meanBusySlots) * fresh;
        double meanWait = waitCount == 0 ? 0 : waitMillisSum / waitCount;
        double wait = Math.max(meanWait, (double) oldestWaitMillis / 2);
        meanWaitMillis += (wait - meanWaitMillis) * fresh;
        totalArrivalRate =
                arrivalRates.values().stream().mapToDouble(Double::doubleValue).sum();
        arrivalCount = 0;
        underPressure = oldestWaitMillis > 0;
        arrived.clear();
        started.clear();
        ended.clear();
        busySlotMillis = 0;
        waitMillisSum = 0;
        waitCount = 0;
        return NodeLoad.of(service, slots, meanBusySlots, meanWaitMillis, arrivalRates, routeLoads());
    }

    private Map<RouteId, RouteLoad> routeLoads() {
        Map<RouteId, RouteLoad> loads = new HashMap<>();
        executionRates.forEach((route, perSecond) -> loads.put(
                route, new RouteLoad(perSecond, meanHoldMillis.getOrDefault(route, 0.0), callRatios.of(route))));
        return loads;
    }

    private static <K> void updateAverages(
            Map<K, Double> averages, Map<K, Double> counts, double elapsed, double fresh) {
        Set<K> keys = new HashSet<>(averages.keySet());
        keys.addAll(counts.keySet());
        for (K key : keys) {
            double rate = counts.getOrDefault(key, 0.0) * 1_000 / elapsed;
            double old = averages.getOrDefault(key, 0.0);
            averages.put(key, old + (rate - old) * fresh);
        }
        averages.values().removeIf(rate -> rate < NEGLIGIBLE_PER_SECOND);
    }
}
