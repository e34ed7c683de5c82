package org.trefoilledge.core.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.trefoilledge.core.RouteId;

/**
 * Learns how many calls an upstream makes to each route for one execution of each of its own routes. A call does not
 * say for which execution it is made. But the number of executions of each route varies from moment to moment, and the
 * calls with it: least squares over short intervals yield the calls for a millisecond of each route's executions. What
 * was seen long ago counts less and less. Not thread-safe.
 */
public final class CallRatioEstimator {
    /** Length of an interval: shorter than an execution, so that the routes' shares differ between intervals. */
    private static final long INTERVAL_MILLIS = 25;
    /** What an interval leaves of everything that was seen before; a memory of about six seconds. */
    private static final double DECAY_PER_INTERVAL = 0.996;

    private static final double MIN_RATIO = 0.1;
    private static final int SOLVER_ITERATIONS = 30;

    private final List<RouteStats> allStats = new ArrayList<>();
    private final Map<RouteId, RouteStats> statsByRoute = new HashMap<>();
    private final Map<RouteId, Double> called = new HashMap<>();
    private long intervalStart = Long.MIN_VALUE;

    private static final class RouteStats {
        private int running;
        private long integratedUntil;
        private double runningMillis;
        private double totalRunningMillis;
        private double endedExecutions;
        private final Map<RouteStats, Double> routeProducts = new HashMap<>();
        private final Map<RouteId, Double> callProducts = new HashMap<>();
        private Map<RouteId, Double> callsPerExecution = Map.of();

        void integrate(long now) {
            runningMillis += (double) running * (double) (now - integratedUntil);
            integratedUntil = now;
        }

        double meanHoldMillis() {
            return endedExecutions == 0 ? 0 : totalRunningMillis / endedExecutions;
        }
    }

    /** Counts the start of an execution. */
    public void recordStart(RouteId route, long now) {
        advance(now);
        RouteStats executions = statsByRoute.get(route);
        if (executions == null) {
            executions = new RouteStats();
            statsByRoute.put(route, executions);
            allStats.add(executions);
        }
        executions.integrate(now);
        executions.running++;
    }

    /** Counts the end of an execution. */
    public void recordEnd(RouteId route, long now) {
        advance(now);
        RouteStats executions = statsByRoute.get(route);
        if (executions != null && executions.running > 0) {
            executions.integrate(now);
            executions.running--;
            executions.endedExecutions++;
        }
    }

    /** Counts a call of the upstream. */
    public void called(RouteId child, long now) {
        advance(now);
        called.merge(child, 1.0, Double::sum);
    }

    /** Works out the ratios from everything seen so far. */
    public void update(long now) {
        advance(now);
        Map<RouteStats, Map<RouteId, Double>> ratios = new HashMap<>();
        allStats.forEach(route -> ratios.put(route, new HashMap<>()));
        allStats.stream()
                .flatMap(route -> route.callProducts.keySet().stream())
                .distinct()
                .forEach(child -> solveCallsPerMilli(child).forEach((route, perMilli) -> {
                    double ratio = perMilli * route.meanHoldMillis();
                    if (ratio >= MIN_RATIO) {
                        ratios.get(route).put(child, ratio);
                    }
                }));
        ratios.forEach((route, found) -> route.callsPerExecution = Map.copyOf(found));
    }

    /** Returns the calls for one execution of a route at the last update, without those that are negligible. */
    public Map<RouteId, Double> callsPerExecution(RouteId route) {
        RouteStats executions = statsByRoute.get(route);
        return executions == null ? Map.of() : executions.callsPerExecution;
    }

    private void advance(long now) {
        if (intervalStart == Long.MIN_VALUE) {
            intervalStart = now;
        }
        if (now - intervalStart >= INTERVAL_MILLIS) {
            intervalStart = now;
            closeInterval(now);
        }
    }

    private void closeInterval(long now) {
        allStats.forEach(route -> route.integrate(now));
        for (RouteStats route : allStats) {
            route.routeProducts.replaceAll((other, sum) -> sum * DECAY_PER_INTERVAL);
            route.callProducts.replaceAll((child, sum) -> sum * DECAY_PER_INTERVAL);
            route.totalRunningMillis = route.totalRunningMillis * DECAY_PER_INTERVAL + route.runningMillis;
            route.endedExecutions *= DECAY_PER_INTERVAL;
            if (route.runningMillis > 0) {
                allStats.forEach(other ->
                        route.routeProducts.merge(other, route.runningMillis * other.runningMillis, Double::sum));
                called.forEach(
                        (child, count) -> route.callProducts.merge(child, route.runningMillis * count, Double::sum));
            }
        }
        allStats.forEach(route -> route.runningMillis = 0);
        called.clear();
    }

    /** Returns the calls to the child for a millisecond of each route: least squares without negative figures. */
    private Map<RouteStats, Double> solveCallsPerMilli(RouteId child) {
        Map<RouteStats, Double> perMilli = new HashMap<>();
        for (int round = 0; round < SOLVER_ITERATIONS; round++) {
            for (RouteStats route : allStats) {
                double own = route.routeProducts.getOrDefault(route, 0.0);
                if (own <= 0) {
                    continue;
                }
                double rest = route.callProducts.getOrDefault(child, 0.0);
                for (RouteStats other : allStats) {
                    if (other != route) {
                        rest -= route.routeProducts.getOrDefault(other, 0.0) * perMilli.getOrDefault(other, 0.0);
                    }
                }
                perMilli.put(route, Math.max(0, rest / own));
            }
        }
        return perMilli;
    }
}
