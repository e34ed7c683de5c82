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

/** The slot time that one request of a route takes at each service, with all calls below it. */
final class CallTreeCosts {
    private final Map<RouteId, Map<RouteId, Double>> callsPerExecution = new HashMap<>();
    private final Map<RouteId, Map<ServiceId, Double>> holdMillis = new HashMap<>();
    private final Map<RouteId, Map<ServiceId, Double>> cachedSlotMillis = new HashMap<>();
    private final Function<RouteId, TrafficSplit> splits;

    private static final class WeightedMean {
        private double sum;
        private double weight;

        void add(double value, double by) {
            sum += value * by;
            weight += by;
        }

        double value() {
            return weight == 0 ? 0 : sum / weight;
        }
    }

    /**
     * @param splits services to which a route goes; null for a route that is not known
     */
    CallTreeCosts(Collection<NodeLoad> nodes, Function<RouteId, TrafficSplit> splits) {
        this.splits = splits;
        Map<RouteId, Map<ServiceId, WeightedMean>> holdMeans = new HashMap<>();
        Map<RouteId, Map<RouteId, WeightedMean>> callMeans = new HashMap<>();
        Map<RouteId, Double> executions = new HashMap<>();
        for (NodeLoad node : nodes) {
            node.executions().forEach((route, load) -> {
                double by = load.executionsPerSecond();
                executions.merge(route, by, Double::sum);
                holdMeans
                        .computeIfAbsent(route, r -> new HashMap<>())
                        .computeIfAbsent(node.service(), s -> new WeightedMean())
                        .add(load.holdMillis(), by);
                load.callsPerExecution().forEach((child, ratio) -> callMeans
                        .computeIfAbsent(route, r -> new HashMap<>())
                        .computeIfAbsent(child, c -> new WeightedMean())
                        .add(ratio, by));
            });
        }
        holdMeans.forEach((route, means) -> {
            Map<ServiceId, Double> values = new HashMap<>();
            means.forEach((service, mean) -> values.put(service, mean.value()));
            holdMillis.put(route, values);
        });
        // A node that has not seen a call counts with none, hence the division by all executions.
        callMeans.forEach((route, means) -> {
            Map<RouteId, Double> values = new HashMap<>();
            means.forEach(
                    (child, mean) -> values.put(child, mean.sum / Math.max(1e-9, executions.getOrDefault(route, 0.0))));
            callsPerExecution.put(route, values);
        });
    }

    /** Returns the slot milliseconds at each service for one request of the route. */
    Map<ServiceId, Double> slotMillis(RouteId route) {
        return slotMillis(route, new HashSet<>());
    }

    private Map<ServiceId, Double> slotMillis(RouteId route, Set<RouteId> above) {
        Map<ServiceId, Double> known = cachedSlotMillis.get(route);
        if (known != null) {
            return known;
        }
        Map<ServiceId, Double> sum = new HashMap<>(ownSlotMillis(route));
        if (above.add(route)) {
            callsPerExecution.getOrDefault(route, Map.of()).forEach((child, ratio) -> slotMillis(child, above)
                    .forEach((service, cost) -> sum.merge(service, cost * ratio, Double::sum)));
            above.remove(route);
        }
        cachedSlotMillis.put(route, sum);
        return sum;
    }

    private Map<ServiceId, Double> ownSlotMillis(RouteId route) {
        TrafficSplit split = splits.apply(route);
        Map<ServiceId, Double> held = holdMillis.getOrDefault(route, Map.of());
        if (split == null) {
            return Map.of();
        }
        double total = split.destinations().stream()
                .mapToDouble(TrafficSplit.Destination::weight)
                .sum();
        Map<ServiceId, Double> own = new HashMap<>();
        for (TrafficSplit.Destination part : split.destinations()) {
            own.merge(part.service(), part.weight() / total * held.getOrDefault(part.service(), 0.0), Double::sum);
        }
        return own;
    }
}
