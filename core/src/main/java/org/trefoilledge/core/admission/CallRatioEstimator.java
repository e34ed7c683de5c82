package org.trefoilledge.core.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.trefoilledge.core.RouteId;

/**
 * Estimates how many calls an upstream makes to each route per execution of each of its own routes. A call does not
 * identify the execution that makes it, but the number of running executions of each route varies over time, and the
 * number of calls varies with it. Least squares over short intervals yields the calls per millisecond of execution time
 * of each route. Older intervals have exponentially decreasing weight. Not thread-safe.
 */
public final class CallRatioEstimator {
    /** Length of an interval; shorter than an execution, so that the shares of the routes differ between intervals. */
    private static final long INTERVAL_MILLIS = 25;
    /** Factor by which each interval reduces the weight of earlier ones; gives a time constant of about six seconds. */
    private static final double DECAY_PER_INTERVAL = 0.996;

    /** Calls per execution below which a ratio is dropped. */
    private static final double MIN_RATIO = 0.1;

    private static final int SOLVER_ITERATIONS = 30;

    private final List<RouteStats> allStats = new ArrayList<>();
    private final Map<RouteId, RouteStats> statsByRoute = new HashMap<>();
    /** Calls to each child route in the current interval. */
    private final Map<RouteId, Double> called = new HashMap<>();

    private long intervalStart = Long.MIN_VALUE;

    private static final class RouteStats {
        private int running;
        private long integratedUntil;
        /** Execution time in the current interval, summed over concurrent executions. */
        private double runningMillis;

        /** Decayed sum of the execution time over the closed intervals. */
        private double totalRunningMillis;
        /** Decayed number of ended executions. */
        private double endedExecutions;
        /** Decayed sums of the products of this route's execution time with that of each route. */
        private final Map<RouteStats, Double> routeProducts = new HashMap<>();
        /** Decayed sums of the products of this route's execution time with the calls to each child. */
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

    /**
     * Records the start of an execution.
     *
     * @param now current time in milliseconds
     */
    public void recordStart(RouteId route, long now) {
        advance(now);
        RouteStats stats = statsByRoute.get(route);
        if (stats == null) {
            stats = new RouteStats();
            statsByRoute.put(route, stats);
            allStats.add(stats);
        }
        stats.integrate(now);
        stats.running++;
    }

    /** Records the end of an execution. */
    public void recordEnd(RouteId route, long now) {
        advance(now);
        RouteStats stats = statsByRoute.get(route);
        if (stats != null && stats.running > 0) {
            stats.integrate(now);
            stats.running--;
            stats.endedExecutions++;
        }
    }

    /** Records a call that the upstream makes to the child route. */
    public void called(RouteId child, long now) {
        advance(now);
        called.merge(child, 1.0, Double::sum);
    }

    /** Recomputes the ratios from all recorded events. */
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
        ratios.forEach((route, perChild) -> route.callsPerExecution = Map.copyOf(perChild));
    }

    /**
     * Returns the calls per execution of a route as of the last update, by called route. Negligible ratios are
     * omitted.
     */
    public Map<RouteId, Double> callsPerExecution(RouteId route) {
        RouteStats stats = statsByRoute.get(route);
        return stats == null ? Map.of() : stats.callsPerExecution;
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

    /**
     * Returns the calls to the child per millisecond of execution time of each route. Solves the least-squares problem
     * by Gauss-Seidel iterations that replace negative values by 0.
     */
    private Map<RouteStats, Double> solveCallsPerMilli(RouteId child) {
        Map<RouteStats, Double> perMilli = new HashMap<>();
        for (int iteration = 0; iteration < SOLVER_ITERATIONS; iteration++) {
            for (RouteStats route : allStats) {
                double own = route.routeProducts.getOrDefault(route, 0.0);
                if (own <= 0) {
                    continue;
                }
                double residual = route.callProducts.getOrDefault(child, 0.0);
                for (RouteStats other : allStats) {
                    if (other != route) {
                        residual -= route.routeProducts.getOrDefault(other, 0.0) * perMilli.getOrDefault(other, 0.0);
                    }
                }
                perMilli.put(route, Math.max(0, residual / own));
            }
        }
        return perMilli;
    }
}
