package org.trefoilledge.core.admission;

import java.util.HashMap;
import java.util.Map;
import org.trefoilledge.core.RouteId;

/**
 * What one node has measured of the executions of a route at its upstream.
 *
 * @param executionsPerSecond executions that started
 * @param holdMillis time for which an execution holds a slot, its own calls included
 * @param callsPerExecution calls that the upstream makes to other routes for one execution
 */
public record RouteLoad(double executionsPerSecond, double holdMillis, Map<RouteId, Double> callsPerExecution) {
    /** Copies the calls. */
    public RouteLoad {
        callsPerExecution = Map.copyOf(callsPerExecution);
    }

    /** Adds the executions of another upstream; times and calls are averaged over the executions. */
    RouteLoad plus(RouteLoad other) {
        double all = executionsPerSecond + other.executionsPerSecond;
        if (all <= 0) {
            return this;
        }
        double ownPart = executionsPerSecond / all;
        Map<RouteId, Double> calls = new HashMap<>();
        callsPerExecution.forEach((route, ratio) -> calls.merge(route, ratio * ownPart, Double::sum));
        other.callsPerExecution.forEach((route, ratio) -> calls.merge(route, ratio * (1 - ownPart), Double::sum));
        return new RouteLoad(all, holdMillis * ownPart + other.holdMillis * (1 - ownPart), calls);
    }
}
