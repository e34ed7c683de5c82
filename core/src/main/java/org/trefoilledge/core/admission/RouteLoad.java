package org.trefoilledge.core.admission;

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
}
