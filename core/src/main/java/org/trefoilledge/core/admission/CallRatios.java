package org.trefoilledge.core.admission;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.trefoilledge.core.RouteId;

/**
 * Learns how many calls an upstream makes to each route for one execution of each of its own routes. A call does not
 * say for which request it is made, so the ratios are those that explain best what was counted in many short
 * intervals: a normalised gradient step for each interval, with ratios that are never negative. Not thread-safe.
 */
public final class CallRatios {
    /** Part of an interval's error that one step corrects; more follows noise. */
    private static final double STEP = 0.15;
    /** First intervals correct more, so that a usable ratio is there after a second or two. */
    private static final double FIRST_STEP = 0.6;

    private static final int FIRST_INTERVALS = 8;
    private static final double NEGLIGIBLE = 0.02;

    private final Map<RouteId, Map<RouteId, Double>> ratios = new HashMap<>();
    private int intervals;

    /**
     * Takes the counts of one interval.
     *
     * @param executed executions of each route of the upstream
     * @param called calls that the upstream made to each route
     */
    public void observe(Map<RouteId, Double> executed, Map<RouteId, Double> called) {
        double norm =
                executed.values().stream().mapToDouble(count -> count * count).sum();
        if (norm < 1) {
            return;
        }
        double step = intervals++ < FIRST_INTERVALS ? FIRST_STEP : STEP;
        Set<RouteId> children = new HashSet<>(called.keySet());
        ratios.values().forEach(known -> children.addAll(known.keySet()));
        for (RouteId child : children) {
            double expected = 0;
            for (Map.Entry<RouteId, Double> entry : executed.entrySet()) {
                expected += entry.getValue() * ratio(entry.getKey(), child);
            }
            double error = called.getOrDefault(child, 0.0) - expected;
            for (Map.Entry<RouteId, Double> entry : executed.entrySet()) {
                double corrected = ratio(entry.getKey(), child) + step * error * entry.getValue() / norm;
                ratios.computeIfAbsent(entry.getKey(), route -> new HashMap<>()).put(child, Math.max(0, corrected));
            }
        }
    }

    /** Returns the calls for one execution of a route, without those that are negligible. */
    public Map<RouteId, Double> of(RouteId route) {
        Map<RouteId, Double> calls = new HashMap<>(ratios.getOrDefault(route, Map.of()));
        calls.values().removeIf(ratio -> ratio < NEGLIGIBLE);
        return calls;
    }

    private double ratio(RouteId route, RouteId child) {
        return ratios.getOrDefault(route, Map.of()).getOrDefault(child, 0.0);
    }
}
