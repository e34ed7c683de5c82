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
 * Recent load measurements of one node, or the sum over several nodes whose upstreams belong to one service.
 *
 * @param service service of the node's upstream
 * @param nodes number of nodes whose upstream accepts requests
 * @param slots requests that the upstreams process concurrently; 0 if they accept none
 * @param busySlots average number of slots in use
 * @param queueDelayMillis time for which calls wait for a slot, averaged over the nodes
 * @param arrivals root requests per second received from callers by request class, including refused requests
 * @param executions executions at the upstream by route
 * @param offeredPerSecond calls per second that were passed to the upstreams
 * @param rejectedPerSecond calls per second that the upstreams rejected, or failed for a reason of their own
 * @param retriesPerSecond retries per second that the nodes sent to each service, by their cost in the retry budget
 */
public record NodeLoad(
        ServiceId service,
        int nodes,
        int slots,
        double busySlots,
        double queueDelayMillis,
        Map<RequestClass, Double> arrivals,
        Map<RouteId, RouteLoad> executions,
        double offeredPerSecond,
        double rejectedPerSecond,
        Map<ServiceId, Double> retriesPerSecond) {
    /** Copies the maps. */
    public NodeLoad {
        Objects.requireNonNull(service, "service");
        arrivals = Map.copyOf(arrivals);
        executions = Map.copyOf(executions);
        retriesPerSecond = Map.copyOf(retriesPerSecond);
    }

    /** Creates the load of one node whose upstream rejects no calls. */
    public static NodeLoad of(
            ServiceId service,
            int slots,
            double busySlots,
            double queueDelayMillis,
            Map<RequestClass, Double> arrivals,
            Map<RouteId, RouteLoad> executions) {
        return new NodeLoad(
                service, slots > 0 ? 1 : 0, slots, busySlots, queueDelayMillis, arrivals, executions, 0, 0, Map.of());
    }

    /** Returns this load with the given rates of calls passed to the upstream, of those that it rejected, and of retries. */
    public NodeLoad withRejections(double offered, double rejected, Map<ServiceId, Double> retries) {
        return new NodeLoad(
                service, nodes, slots, busySlots, queueDelayMillis, arrivals, executions, offered, rejected, retries);
    }

    /** Returns the sums of the loads of several nodes, one for each service. */
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
        double busySlots = 0;
        double delaySum = 0;
        double offered = 0;
        double rejected = 0;
        Map<RequestClass, Double> arrivals = new HashMap<>();
        Map<RouteId, RouteLoad> executions = new HashMap<>();
        Map<ServiceId, Double> retries = new HashMap<>();
        for (NodeLoad load : loads) {
            nodes += load.nodes();
            slots += load.slots();
            // An upstream that accepts no requests announces no slots, although executions may still occupy some.
            busySlots += load.slots() > 0 ? load.busySlots() : 0;
            offered += load.offeredPerSecond();
            rejected += load.rejectedPerSecond();
            delaySum += load.nodes() * load.queueDelayMillis();
            load.arrivals().forEach((requestClass, perSecond) -> arrivals.merge(requestClass, perSecond, Double::sum));
            load.retriesPerSecond().forEach((service, perSecond) -> retries.merge(service, perSecond, Double::sum));
            load.executions().forEach((route, routeLoad) -> executions.merge(route, routeLoad, RouteLoad::plus));
        }
        return new NodeLoad(
                loads.get(0).service(),
                nodes,
                slots,
                busySlots,
                nodes == 0 ? 0 : delaySum / nodes,
                arrivals,
                executions,
                offered,
                rejected,
                retries);
    }
}
