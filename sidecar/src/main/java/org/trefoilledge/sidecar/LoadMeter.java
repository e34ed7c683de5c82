package org.trefoilledge.sidecar;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.trefoilledge.core.Clock;
import org.trefoilledge.core.RouteId;
import org.trefoilledge.core.ServiceId;
import org.trefoilledge.core.admission.CallRatioEstimator;
import org.trefoilledge.core.admission.NodeLoad;
import org.trefoilledge.core.admission.RequestClass;
import org.trefoilledge.core.admission.RouteLoad;

/**
 * Measures the requests that arrive at this node and the executions at its upstream, as moving averages. Used on the
 * traffic thread.
 */
final class LoadMeter {
    /** Time constant of the averages of rates; short, because a surge has to be answered within a second. */
    private static final double RATE_AVERAGING_MILLIS = 600;
    /** Time constant of the averages of the times for which executions hold a slot. */
    private static final double HOLD_AVERAGING_MILLIS = 2_000;

    /** Time constant of the averages of answered and rejected calls; short, because retries run out within seconds. */
    private static final double REJECTION_AVERAGING_MILLIS = 200;

    /** Failed or rejected calls of an interval, and their part of all, from which on the load is reported sooner. */
    private static final int PRESSURE_FAILURES = 4;

    private static final double PRESSURE_FAILURE_RATE = 0.1;

    /** Average rates below this are dropped. */
    private static final double NEGLIGIBLE_PER_SECOND = 0.01;

    /** Multiple of the average arrival rate above which arrivals count as a surge. */
    private static final double SURGE_FACTOR = 2;
    /** Requests that may arrive beyond that multiple without counting as a surge. */
    private static final double SURGE_SLACK_REQUESTS = 4;

    private final Clock clock;
    private final ServiceId service;
    private final CallRatioEstimator callRatios = new CallRatioEstimator();
    private final Map<RequestClass, Double> arrivalRates = new HashMap<>();
    private final Map<RouteId, Double> executionRates = new HashMap<>();
    private final Map<RouteId, Double> meanHoldMillis = new HashMap<>();
    /** Root requests of the current interval. */
    private final Map<RequestClass, Double> arrived = new HashMap<>();
    /** Executions that started in the current interval. */
    private final Map<RouteId, Double> started = new HashMap<>();
    /** Executions that ended in the current interval: the sum of their hold times in milliseconds, and their number. */
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
    private final boolean measuresRejections;
    private int answeredCount;
    private int rejectedCount;
    private int attemptCount;
    private int failedAttemptCount;
    private double answeredRate;
    private double rejectedRate;
    /** Also read by the control thread. */
    private volatile double rejectionRate;

    /** Retries that this node sent to each service in the current interval, by their cost. */
    private final Map<ServiceId, Double> retried = new HashMap<>();

    private final Map<ServiceId, Double> retryRates = new HashMap<>();
    /** Also read by the control thread. */
    private volatile boolean underPressure;

    /** Creates a meter that does not report rejections. */
    LoadMeter(ServiceId service, Clock clock) {
        this(service, clock, false);
    }

    LoadMeter(ServiceId service, Clock clock, boolean measuresRejections) {
        this.service = service;
        this.clock = clock;
        this.measuresRejections = measuresRejections;
        this.intervalStartMillis = clock.millis();
        this.integratedUntilMillis = intervalStartMillis;
    }

    /** Records a root request of a caller. */
    void arrived(RequestClass requests) {
        arrived.merge(requests, 1.0, Double::sum);
        arrivalCount++;
        double seconds = (double) (clock.millis() - intervalStartMillis) / 1_000;
        if (!underPressure && arrivalCount > SURGE_FACTOR * totalArrivalRate * seconds + SURGE_SLACK_REQUESTS) {
            underPressure = true;
        }
    }

    /** Records that a call waits for a slot or finds no upstream. */
    void recordPressure() {
        underPressure = true;
    }

    /**
     * Returns whether calls have waited or found no upstream, or a surge has begun, since the last sample. May be
     * called from any thread.
     */
    boolean underPressure() {
        return underPressure;
    }

    /** Records a call that the upstream makes. */
    void called(RouteId route) {
        callRatios.called(route, clock.millis());
    }

    /** Records the start of an execution and the time for which it waited for a slot. */
    void started(RouteId route, long waitedMillis) {
        started.merge(route, 1.0, Double::sum);
        callRatios.recordStart(route, clock.millis());
        waitMillisSum += (double) waitedMillis;
        waitCount++;
        integrateBusySlots();
        busySlots++;
    }

    /** Records the end of an execution and the time for which it held a slot. */
    void ended(RouteId route, long heldMillis) {
        callRatios.recordEnd(route, clock.millis());
        double[] sum = ended.computeIfAbsent(route, r -> new double[2]);
        sum[0] += (double) heldMillis;
        sum[1]++;
        integrateBusySlots();
        busySlots--;
    }

    /**
     * Records that the upstream has answered a call.
     *
     * @param rejected whether it has rejected the call, or failed for a reason of its own
     */
    void answered(boolean rejected) {
        answeredCount++;
        rejectedCount += rejected ? 1 : 0;
        recordFailurePressure(rejectedCount, answeredCount);
    }

    /**
     * Records that an attempt of this node to execute a request has ended. A node whose requests fail needs the next plan
     * soon, also if its own upstream is healthy.
     */
    void attempted(boolean failed) {
        attemptCount++;
        failedAttemptCount += failed ? 1 : 0;
        recordFailurePressure(failedAttemptCount, attemptCount);
    }

    private void recordFailurePressure(int failures, int all) {
        if (measuresRejections && failures >= PRESSURE_FAILURES && failures >= PRESSURE_FAILURE_RATE * all) {
            underPressure = true;
        }
    }

    /** Records a retry that this node sends to a service, and its cost in the retry budget. */
    void retried(ServiceId target, double cost) {
        if (measuresRejections) {
            retried.merge(target, cost, Double::sum);
        }
    }

    /** Returns the average part of the calls that the upstream rejects, from 0 to 1. May be called from any thread. */
    double rejectionRate() {
        return rejectionRate;
    }

    /** Returns whether executions of the route make calls of their own, as measured so far. */
    boolean makesCalls(RouteId route) {
        return !callRatios.callsPerExecution(route).isEmpty();
    }

    /** Adds the busy slots up to now to their integral over the interval. */
    private void integrateBusySlots() {
        long now = clock.millis();
        busySlotMillis += (double) busySlots * (double) (now - integratedUntilMillis);
        integratedUntilMillis = now;
    }

    /**
     * Ends the current interval and returns the averages.
     *
     * @param slots slots of the upstream, 0 if it accepts no work
     * @param oldestWaitMillis time for which the oldest waiting call has waited, 0 if none waits
     */
    NodeLoad sample(int slots, long oldestWaitMillis) {
        integrateBusySlots();
        long now = clock.millis();
        double elapsedMillis = Math.max(1.0, (double) (now - intervalStartMillis));
        intervalStartMillis = now;
        double weight = 1 - Math.exp(-elapsedMillis / RATE_AVERAGING_MILLIS);
        callRatios.update(now);
        updateAverages(arrivalRates, arrived, elapsedMillis, weight);
        updateAverages(executionRates, started, elapsedMillis, weight);
        double holdWeight = 1 - Math.exp(-elapsedMillis / HOLD_AVERAGING_MILLIS);
        ended.forEach((route, sum) -> meanHoldMillis.merge(
                route, sum[0] / sum[1], (previous, latest) -> previous + (latest - previous) * holdWeight));
        meanBusySlots += (busySlotMillis / elapsedMillis - meanBusySlots) * weight;
        double intervalWait = waitCount == 0 ? 0 : waitMillisSum / waitCount;
        double wait = Math.max(intervalWait, (double) oldestWaitMillis / 2);
        meanWaitMillis += (wait - meanWaitMillis) * weight;
        updateRejections(elapsedMillis);
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
        NodeLoad load = NodeLoad.of(service, slots, meanBusySlots, meanWaitMillis, arrivalRates, routeLoads());
        return measuresRejections ? load.withRejections(answeredRate, rejectedRate, retryRates) : load;
    }

    private void updateRejections(double elapsedMillis) {
        double weight = 1 - Math.exp(-elapsedMillis / REJECTION_AVERAGING_MILLIS);
        answeredRate += (answeredCount * 1_000 / elapsedMillis - answeredRate) * weight;
        rejectedRate += (rejectedCount * 1_000 / elapsedMillis - rejectedRate) * weight;
        rejectionRate = answeredRate < NEGLIGIBLE_PER_SECOND ? 0 : rejectedRate / answeredRate;
        updateAverages(retryRates, retried, elapsedMillis, weight);
        answeredCount = 0;
        rejectedCount = 0;
        attemptCount = 0;
        failedAttemptCount = 0;
        retried.clear();
    }

    private Map<RouteId, RouteLoad> routeLoads() {
        Map<RouteId, RouteLoad> loads = new HashMap<>();
        executionRates.forEach((route, perSecond) -> loads.put(
                route,
                new RouteLoad(
                        perSecond, meanHoldMillis.getOrDefault(route, 0.0), callRatios.callsPerExecution(route))));
        return loads;
    }

    private static <K> void updateAverages(
            Map<K, Double> averages, Map<K, Double> counts, double elapsedMillis, double weight) {
        Set<K> keys = new HashSet<>(averages.keySet());
        keys.addAll(counts.keySet());
        for (K key : keys) {
            double rate = counts.getOrDefault(key, 0.0) * 1_000 / elapsedMillis;
            double previous = averages.getOrDefault(key, 0.0);
            averages.put(key, previous + (rate - previous) * weight);
        }
        averages.values().removeIf(rate -> rate < NEGLIGIBLE_PER_SECOND);
    }
}
