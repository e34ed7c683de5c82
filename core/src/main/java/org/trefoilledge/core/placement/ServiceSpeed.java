package org.trefoilledge.core.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.RouteId;

/**
 * The mean service times of one service by route, over the upstreams that this node has heard from. They are the scale on
 * which the upstreams are compared, because routes of one service can differ by an order of magnitude. Thread-safe.
 */
final class ServiceSpeed {
    /** Weight of one answer in the mean service time of the service. */
    private static final double SMOOTHING = 0.02;

    private final Map<RouteId, Map<HostId, Double>> millisByRoute = new HashMap<>();
    private double meanMillis;

    /** Records the service time of a route at an upstream and returns it as a multiple of the mean of that route. */
    synchronized double record(RouteId route, HostId host, double millis) {
        Map<HostId, Double> byHost = millisByRoute.computeIfAbsent(route, r -> new HashMap<>());
        byHost.put(host, millis);
        meanMillis += (millis - meanMillis) * (meanMillis == 0 ? 1 : SMOOTHING);
        double sum = 0;
        for (double value : byHost.values()) {
            sum += value;
        }
        return millis * byHost.size() / sum;
    }

    /** Removes the figures of upstreams that are no longer candidates. */
    synchronized void retain(Set<HostId> hosts) {
        millisByRoute.values().forEach(byHost -> byHost.keySet().retainAll(hosts));
        millisByRoute.values().removeIf(Map::isEmpty);
    }

    /** Returns the mean service time over all routes, weighted by their calls, in milliseconds; 0 if it is not known. */
    synchronized double meanMillis() {
        return meanMillis;
    }
}
