package org.trefoilledge.core.admission;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import org.trefoilledge.core.RouteId;
import org.trefoilledge.core.ServiceId;
import org.trefoilledge.core.routing.TrafficSplit;

/** The slot time that one request of a route needs at each service, including all calls in its call tree. */
final class CallTreeCosts {
    private final Map<RouteId, Map<RouteId, Double>> callsPerExecution = new HashMap<>();
    private final Map<RouteId, Map<ServiceId, Double>> holdMillis = new HashMap<>();
    private final Map<RouteId, Map<ServiceId, Double>> cachedSlotMillis = new HashMap<>();
    private final Function<RouteId, TrafficSplit> splits;

    private static final class WeightedMean {
        private double sum;
        private double weight;

        void add(double value, double valueWeight) {
            sum += value * valueWeight;
            weight += valueWeight;
        }

        double value() {
            return weight == 0 ? 0 : sum / weight;
        }
    }

    /**
     * Aggregates the measurements of the nodes.
     *
     * @param splits returns the services of a route, or null for an unknown route
     */
    CallTreeCosts(Collection<NodeLoad> nodes, Function<RouteId, TrafficSplit> splits) {
        this.splits = splits;
        Map<RouteId, Map<ServiceId, WeightedMean>> holdMeans = new HashMap<>();
        Map<RouteId, Map<RouteId, WeightedMean>> callMeans = new HashMap<>();
        Map<RouteId, Double> executions = new HashMap<>();
        for (NodeLoad node : nodes) {
            node.executions().forEach((route, load) -> {
                double perSecond = load.executionsPerSecond();
                executions.merge(route, perSecond, Double::sum);
                holdMeans
                        .computeIfAbsent(route, r -> new HashMap<>())
                        .computeIfAbsent(node.service(), s -> new WeightedMean())
                        .add(load.holdMillis(), perSecond);
                load.callsPerExecution().forEach((child, ratio) -> callMeans
                        .computeIfAbsent(route, r -> new HashMap<>())
                        .computeIfAbsent(child, c -> new WeightedMean())
                        .add(ratio, perSecond));
            });
        }
        holdMeans.forEach((route, means) -> {
            Map<ServiceId, Double> values = new HashMap<>();
            means.forEach((service, mean) -> values.put(service, mean.value()));
            holdMillis.put(route, values);
        });
        // Divides by all executions of the route, so that a node that saw no call to the child counts with zero calls.
        callMeans.forEach((route, means) -> {
            Map<RouteId, Double> values = new HashMap<>();
            means.forEach(
                    (child, mean) -> values.put(child, mean.sum / Math.max(1e-9, executions.getOrDefault(route, 0.0))));
            callsPerExecution.put(route, values);
        });
    }

    /** Returns the slot time in milliseconds at each service for one request of the route. */
    Map<ServiceId, Double> slotMillis(RouteId route) {
        return slotMillis(route, new HashSet<>());
    }

    private Map<ServiceId, Double> slotMillis(RouteId route, Set<RouteId> ancestors) {
        Map<ServiceId, Double> cached = cachedSlotMillis.get(route);
        if (cached != null) {
            return cached;
        }
        Map<ServiceId, Double> sum = new HashMap<>(ownSlotMillis(route));
        if (ancestors.add(route)) {
            callsPerExecution.getOrDefault(route, Map.of()).forEach((child, ratio) -> slotMillis(child, ancestors)
                    .forEach((service, cost) -> sum.merge(service, cost * ratio, Double::sum)));
            ancestors.remove(route);
        }
        cachedSlotMillis.put(route, sum);
        return sum;
    }

    private Map<ServiceId, Double> ownSlotMillis(RouteId route) {
        TrafficSplit split = splits.apply(route);
        Map<ServiceId, Double> holds = holdMillis.getOrDefault(route, Map.of());
        if (split == null) {
            return Map.of();
        }
        double totalWeight = split.destinations().stream()
                .mapToDouble(TrafficSplit.Destination::weight)
                .sum();
        Map<ServiceId, Double> own = new HashMap<>();
        for (TrafficSplit.Destination destination : split.destinations()) {
            own.merge(
                    destination.service(),
                    destination.weight() / totalWeight * holds.getOrDefault(destination.service(), 0.0),
                    Double::sum);
        }
        return own;
    }
}
