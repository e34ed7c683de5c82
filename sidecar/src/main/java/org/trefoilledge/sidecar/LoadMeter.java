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
    private static final double RATE_MILLIS = 600;
    /** Time over which durations are averaged. */
    private static final double HOLD_MILLIS = 2_000;

    private static final double NEGLIGIBLE_PER_SECOND = 0.01;

    /** Root requests since the last interval, as a multiple of what was usual, from which the load presses. */
    private static final double SURGE = 2;
    /** A few requests more than usual are no surge. */
    private static final double SURGE_SLACK = 4;

    private final Clock clock;
    private final ServiceId service;
    private final CallRatios ratios = new CallRatios();
    private final Map<RequestClass, Double> arrivalRates = new HashMap<>();
    private final Map<RouteId, Double> executionRates = new HashMap<>();
    private final Map<RouteId, Double> holds = new HashMap<>();
    private final Map<RequestClass, Double> arrived = new HashMap<>();
    private final Map<RouteId, Double> started = new HashMap<>();
    private final Map<RouteId, double[]> ended = new HashMap<>();
    private double busyIntegral;
    private int busy;
    private long busySince;
    private double waitSum;
    private int waits;
    private double busyAverage;
    private double waitAverage;
    private long intervalStart;
    private double arrivedSum;
    private double arrivalRate;
    /** Read by the control thread. */
    private volatile boolean pressing;

    LoadMeter(ServiceId service, Clock clock) {
        this.service = service;
        this.clock = clock;
        this.intervalStart = clock.millis();
        this.busySince = intervalStart;
    }

    /** Counts a root request of a caller. */
    void arrived(RequestClass requests) {
        arrived.merge(requests, 1.0, Double::sum);
        arrivedSum++;
        double seconds = (double) (clock.millis() - intervalStart) / 1_000;
        if (!pressing && arrivedSum > SURGE * arrivalRate * seconds + SURGE_SLACK) {
            pressing = true;
        }
    }

    /** Notes that calls wait for a slot or find no upstream. */
    void press() {
        pressing = true;
    }

    /**
     * Returns whether, since the last interval ended, calls have waited or found no upstream, or a surge has begun. May be
     * called from any thread.
     */
    boolean pressing() {
        return pressing;
    }

    /** Counts a call that the upstream makes. */
    void called(RouteId route) {
        ratios.called(route, clock.millis());
    }

    /** Counts the start of an execution and the time for which it waited. */
    void started(RouteId route, long waitedMillis) {
        started.merge(route, 1.0, Double::sum);
        ratios.started(route, clock.millis());
        waitSum += (double) waitedMillis;
        waits++;
        integrate();
        busy++;
    }

    /** Counts the end of an execution. */
    void ended(RouteId route, long heldMillis) {
        ratios.ended(route, clock.millis());
        double[] sum = ended.computeIfAbsent(route, r -> new double[2]);
        sum[0] += (double) heldMillis;
        sum[1]++;
        integrate();
        busy--;
    }

    /** Returns whether executions of the route are known to make calls of their own. */
    boolean makesCalls(RouteId route) {
        return !ratios.of(route).isEmpty();
    }

    private void integrate() {
        long now = clock.millis();
        busyIntegral += (double) busy * (double) (now - busySince);
        busySince = now;
    }

    /**
     * Ends an interval and returns the averages.
     *
     * @param slots slots of the upstream, 0 if it takes no work
     * @param oldestWaitMillis age of the oldest call that waits now
     */
    NodeLoad sample(int slots, long oldestWaitMillis) {
        integrate();
        long now = clock.millis();
        double elapsed = Math.max(1.0, (double) (now - intervalStart));
        intervalStart = now;
        double fresh = 1 - Math.exp(-elapsed / RATE_MILLIS);
        ratios.update(now);
        average(arrivalRates, arrived, elapsed, fresh);
        average(executionRates, started, elapsed, fresh);
        double freshHold = 1 - Math.exp(-elapsed / HOLD_MILLIS);
        ended.forEach(
                (route, sum) -> holds.merge(route, sum[0] / sum[1], (old, latest) -> old + (latest - old) * freshHold));
        busyAverage += (busyIntegral / elapsed - busyAverage) * fresh;
        double meanWait = waits == 0 ? 0 : waitSum / waits;
        double wait = Math.max(meanWait, (double) oldestWaitMillis / 2);
        waitAverage += (wait - waitAverage) * fresh;
        arrivalRate =
                arrivalRates.values().stream().mapToDouble(Double::doubleValue).sum();
        arrivedSum = 0;
        pressing = oldestWaitMillis > 0;
        arrived.clear();
        started.clear();
        ended.clear();
        busyIntegral = 0;
        waitSum = 0;
        waits = 0;
        return NodeLoad.of(service, slots, busyAverage, waitAverage, arrivalRates, executions());
    }

    private Map<RouteId, RouteLoad> executions() {
        Map<RouteId, RouteLoad> loads = new HashMap<>();
        executionRates.forEach((route, perSecond) ->
                loads.put(route, new RouteLoad(perSecond, holds.getOrDefault(route, 0.0), ratios.of(route))));
        return loads;
    }

    private static <K> void average(Map<K, Double> averages, Map<K, Double> counts, double elapsed, double fresh) {
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
