package org.trefoilledge.core.admission;

import java.util.Map;
import java.util.Objects;
import org.trefoilledge.core.RouteId;
import org.trefoilledge.core.ServiceId;

/**
 * What one node has measured lately.
 *
 * @param service service of the node's upstream
 * @param slots requests that the upstream processes at once; 0 if it takes none
 * @param busySlots slots in use, on average
 * @param queueDelayMillis time for which calls wait for a slot, on average
 * @param arrivals root requests a second that callers sent to this node, refused ones included
 * @param executions what ran at the node's upstream
 */
public record NodeLoad(
        ServiceId service,
        int slots,
        double busySlots,
        double queueDelayMillis,
        Map<RequestClass, Double> arrivals,
        Map<RouteId, RouteLoad> executions) {
    /** Copies the tables. */
    public NodeLoad {
        Objects.requireNonNull(service, "service");
        arrivals = Map.copyOf(arrivals);
        executions = Map.copyOf(executions);
    }
}
