package org.trefoilledge.core.admission;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.trefoilledge.core.RouteId;
import org.trefoilledge.core.ServiceId;

/** Measures the load of a replayed node, with the time constants of the sidecar's {@code LoadMeter}. */
final class NodeMeter {
    private static final double RATE_AVERAGING_MILLIS = 600;
    private static final double HOLD_AVERAGING_MILLIS = 2_000;
    private static final double REJECTION_AVERAGING_MILLIS = 200;

    private final ServiceId service;
    private final int slots;
    private final CallRatioEstimator ratios = new CallRatioEstimator();
    private final Map<RequestClass, Double> arrived = new HashMap<>();
    private final Map<RouteId, Double> started = new HashMap<>();
    private final Map<RouteId, double[]> ended = new HashMap<>();
    private final Map<RequestClass, Double> arrivalRates = new HashMap<>();
    private final Map<RouteId, Double> executionRates = new HashMap<>();
    private final Map<RouteId, Double> holds = new HashMap<>();
    private final Map<ServiceId, Double> retried = new HashMap<>();
    private final Map<ServiceId, Double> retryRates = new HashMap<>();
    private double answered;
    private double rejected;
    private double answeredRate;
    private double rejectedRate;
    private int busy;
    private double busySlots;

    NodeMeter(ServiceId service, int slots) {
        this.service = service;
        this.slots = slots;
    }

    void arrived(RequestClass requests) {
        arrived.merge(requests, 1.0, Double::sum);
    }

    void called(RouteId route, long now) {
        ratios.called(route, now);
    }

    void started(RouteId route, long now) {
        started.merge(route, 1.0, Double::sum);
        ratios.recordStart(route, now);
        busy++;
    }

    void ended(RouteId route, long heldMillis, boolean wasRejected, long now) {
        ratios.recordEnd(route, now);
        double[] sum = ended.computeIfAbsent(route, r -> new double[2]);
        sum[0] += (double) heldMillis;
        sum[1]++;
        answered++;
        rejected += wasRejected ? 1 : 0;
        busy--;
    }

    void retried(ServiceId target) {
        retried.merge(target, 1.0, Double::sum);
    }

    int busy() {
        return busy;
    }

    NodeLoad sample(long elapsedMillis, long now) {
        double elapsed = (double) elapsedMillis;
        ratios.update(now);
        double weight = 1 - Math.exp(-elapsed / RATE_AVERAGING_MILLIS);
        average(arrivalRates, arrived, elapsed, weight);
        average(executionRates, started, elapsed, weight);
        double holdWeight = 1 - Math.exp(-elapsed / HOLD_AVERAGING_MILLIS);
        ended.forEach((route, sum) ->
                holds.merge(route, sum[0] / sum[1], (earlier, latest) -> earlier + (latest - earlier) * holdWeight));
        double rejectionWeight = 1 - Math.exp(-elapsed / REJECTION_AVERAGING_MILLIS);
        answeredRate += (answered * 1_000 / elapsed - answeredRate) * rejectionWeight;
        rejectedRate += (rejected * 1_000 / elapsed - rejectedRate) * rejectionWeight;
        busySlots += (busy - busySlots) * weight;
        average(retryRates, retried, elapsed, rejectionWeight);
        retried.clear();
        arrived.clear();
        started.clear();
        ended.clear();
        answered = 0;
        rejected = 0;
        Map<RouteId, RouteLoad> executions = new HashMap<>();
        executionRates.forEach((route, rate) -> executions.put(
                route, new RouteLoad(rate, holds.getOrDefault(route, 0.0), ratios.callsPerExecution(route))));
        return NodeLoad.of(service, slots, busySlots, 0, arrivalRates, executions)
                .withRejections(answeredRate, rejectedRate, retryRates);
    }

    private static <K> void average(Map<K, Double> rates, Map<K, Double> counts, double elapsed, double weight) {
        Set<K> keys = new HashSet<>(rates.keySet());
        keys.addAll(counts.keySet());
        for (K key : keys) {
            double previous = rates.getOrDefault(key, 0.0);
            rates.put(key, previous + (counts.getOrDefault(key, 0.0) * 1_000 / elapsed - previous) * weight);
        }
    }
}
