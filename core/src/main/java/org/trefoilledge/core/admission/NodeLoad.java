package org.trefoilledge.core.admission;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.trefoilledge.core.RouteId;
import org.trefoilledge.core.ServiceId;

/**
 * What one node has measured lately, or several nodes whose upstreams belong to one service.
 *
 * @param service service of the node's upstream
 * @param nodes nodes whose upstream takes work
 * @param slots requests that the upstreams process at once; 0 if they take none
 * @param busySlots slots in use, on average
 * @param queueDelayMillis time for which calls wait for a slot, on average over the nodes
 * @param arrivals root requests a second that callers sent to this node, refused ones included
 * @param executions what ran at the node's upstream
 */
public record NodeLoad(
        ServiceId service,
        int nodes,
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

    /** Creates the load of one node. */
    public static NodeLoad of(
            ServiceId service,
            int slots,
            double busySlots,
            double queueDelayMillis,
            Map<RequestClass, Double> arrivals,
            Map<RouteId, RouteLoad> executions) {
        return new NodeLoad(service, slots > 0 ? 1 : 0, slots, busySlots, queueDelayMillis, arrivals, executions);
    }

    /** Adds up the loads of several nodes, one sum for each service. */
    public static List<NodeLoad> sumByService(Collection<NodeLoad> loads) {
        Map<ServiceId, List<NodeLoad>> byService = new HashMap<>();
        loads.forEach(load -> byService
                .computeIfAbsent(load.service(), s -> new ArrayList<>())
                .add(load));
        return byService.values().stream().map(NodeLoad::sum).toList();
    }

    private static NodeLoad sum(List<NodeLoad> loads) {
        int nodes = 0;
        int slots = 0;
        double busy = 0;
        double delays = 0;
        Map<RequestClass, Double> arrivals = new HashMap<>();
        Map<RouteId, RouteLoad> executions = new HashMap<>();
        for (NodeLoad load : loads) {
            nodes += load.nodes();
            slots += load.slots();
            // An upstream that takes no work has no slots for what it still runs.
            busy += load.slots() > 0 ? load.busySlots() : 0;
            delays += load.nodes() * load.queueDelayMillis();
            load.arrivals().forEach((requests, perSecond) -> arrivals.merge(requests, perSecond, Double::sum));
            load.executions().forEach((route, more) -> executions.merge(route, more, RouteLoad::plus));
        }
        return new NodeLoad(
                loads.get(0).service(), nodes, slots, busy, nodes == 0 ? 0 : delays / nodes, arrivals, executions);
    }
}
