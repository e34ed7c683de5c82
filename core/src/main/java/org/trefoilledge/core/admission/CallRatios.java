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
public final class CallRatios {
    /** Length of an interval: shorter than an execution, so that the routes' shares differ between intervals. */
    private static final long INTERVAL_MILLIS = 25;
    /** What an interval leaves of everything that was seen before; a memory of about six seconds. */
    private static final double KEPT = 0.996;

    private static final double NEGLIGIBLE = 0.1;
    private static final int SOLVER_ROUNDS = 30;

    private final List<Executions> routes = new ArrayList<>();
    private final Map<RouteId, Executions> byRoute = new HashMap<>();
    private final Map<RouteId, Double> called = new HashMap<>();
    private long intervalStart = Long.MIN_VALUE;

    private static final class Executions {
        private int running;
        private long since;
        private double runningMillis;
        private double allMillis;
        private double ended;
        private final Map<Executions, Double> products = new HashMap<>();
        private final Map<RouteId, Double> callProducts = new HashMap<>();
        private Map<RouteId, Double> ratios = Map.of();

        void integrate(long now) {
            runningMillis += (double) running * (double) (now - since);
            since = now;
        }

        double holdMillis() {
            return ended == 0 ? 0 : allMillis / ended;
        }
    }

    /** Counts the start of an execution. */
    public void started(RouteId route, long now) {
        advance(now);
        Executions executions = byRoute.get(route);
        if (executions == null) {
            executions = new Executions();
            byRoute.put(route, executions);
            routes.add(executions);
        }
        executions.integrate(now);
        executions.running++;
    }

    /** Counts the end of an execution. */
    public void ended(RouteId route, long now) {
        advance(now);
        Executions executions = byRoute.get(route);
        if (executions != null && executions.running > 0) {
            executions.integrate(now);
            executions.running--;
            executions.ended++;
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
        Map<Executions, Map<RouteId, Double>> ratios = new HashMap<>();
        routes.forEach(route -> ratios.put(route, new HashMap<>()));
        routes.stream()
                .flatMap(route -> route.callProducts.keySet().stream())
                .distinct()
                .forEach(child -> solve(child).forEach((route, perMilli) -> {
                    double ratio = perMilli * route.holdMillis();
                    if (ratio >= NEGLIGIBLE) {
                        ratios.get(route).put(child, ratio);
                    }
                }));
        ratios.forEach((route, found) -> route.ratios = Map.copyOf(found));
    }

    /** Returns the calls for one execution of a route at the last update, without those that are negligible. */
    public Map<RouteId, Double> of(RouteId route) {
        Executions executions = byRoute.get(route);
        return executions == null ? Map.of() : executions.ratios;
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
        routes.forEach(route -> route.integrate(now));
        for (Executions route : routes) {
            route.products.replaceAll((other, sum) -> sum * KEPT);
            route.callProducts.replaceAll((child, sum) -> sum * KEPT);
            route.allMillis = route.allMillis * KEPT + route.runningMillis;
            route.ended *= KEPT;
            if (route.runningMillis > 0) {
                routes.forEach(
                        other -> route.products.merge(other, route.runningMillis * other.runningMillis, Double::sum));
                called.forEach(
                        (child, count) -> route.callProducts.merge(child, route.runningMillis * count, Double::sum));
            }
        }
        routes.forEach(route -> route.runningMillis = 0);
        called.clear();
    }

    /** Returns the calls to the child for a millisecond of each route: least squares without negative figures. */
    private Map<Executions, Double> solve(RouteId child) {
        Map<Executions, Double> perMilli = new HashMap<>();
        for (int round = 0; round < SOLVER_ROUNDS; round++) {
            for (Executions route : routes) {
                double own = route.products.getOrDefault(route, 0.0);
                if (own <= 0) {
                    continue;
                }
                double rest = route.callProducts.getOrDefault(child, 0.0);
                for (Executions other : routes) {
                    if (other != route) {
                        rest -= route.products.getOrDefault(other, 0.0) * perMilli.getOrDefault(other, 0.0);
                    }
                }
                perMilli.put(route, Math.max(0, rest / own));
            }
        }
        return perMilli;
    }
}
