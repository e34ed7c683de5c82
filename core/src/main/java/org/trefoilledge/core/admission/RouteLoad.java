package org.trefoilledge.core.admission;

import java.util.HashMap;
import java.util.Map;
import org.trefoilledge.core.RouteId;

/**
 * Measurements of the executions of one route at a node's upstream.
 *
 * @param executionsPerSecond executions started per second
 * @param holdMillis time for which an execution occupies a slot, including the calls that it makes
 * @param callsPerExecution calls that the upstream makes per execution, by called route
 */
public record RouteLoad(double executionsPerSecond, double holdMillis, Map<RouteId, Double> callsPerExecution) {
    /** Copies the map. */
    public RouteLoad {
        callsPerExecution = Map.copyOf(callsPerExecution);
    }

    /** Returns the load of this and another upstream; times and calls are averaged over the executions. */
    RouteLoad plus(RouteLoad other) {
        double total = executionsPerSecond + other.executionsPerSecond;
        if (total <= 0) {
            return this;
        }
        double ownFraction = executionsPerSecond / total;
        Map<RouteId, Double> calls = new HashMap<>();
        callsPerExecution.forEach((route, ratio) -> calls.merge(route, ratio * ownFraction, Double::sum));
        other.callsPerExecution.forEach((route, ratio) -> calls.merge(route, ratio * (1 - ownFraction), Double::sum));
        return new RouteLoad(total, holdMillis * ownFraction + other.holdMillis * (1 - ownFraction), calls);
    }
}
