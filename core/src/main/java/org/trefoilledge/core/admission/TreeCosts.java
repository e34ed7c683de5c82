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
final class TreeCosts {
    private final Map<RouteId, Map<RouteId, Double>> calls = new HashMap<>();
    private final Map<RouteId, Map<ServiceId, Double>> holds = new HashMap<>();
    private final Map<RouteId, Map<ServiceId, Double>> costs = new HashMap<>();
    private final Function<RouteId, TrafficSplit> splits;

    private static final class Mean {
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
    TreeCosts(Collection<NodeLoad> nodes, Function<RouteId, TrafficSplit> splits) {
        this.splits = splits;
        Map<RouteId, Map<ServiceId, Mean>> holdMeans = new HashMap<>();
        Map<RouteId, Map<RouteId, Mean>> callMeans = new HashMap<>();
        Map<RouteId, Double> executions = new HashMap<>();
        for (NodeLoad node : nodes) {
            node.executions().forEach((route, load) -> {
                double by = load.executionsPerSecond();
                executions.merge(route, by, Double::sum);
                holdMeans
                        .computeIfAbsent(route, r -> new HashMap<>())
                        .computeIfAbsent(node.service(), s -> new Mean())
                        .add(load.holdMillis(), by);
                load.callsPerExecution().forEach((child, ratio) -> callMeans
                        .computeIfAbsent(route, r -> new HashMap<>())
                        .computeIfAbsent(child, c -> new Mean())
                        .add(ratio, by));
            });
        }
        holdMeans.forEach((route, means) -> {
            Map<ServiceId, Double> values = new HashMap<>();
            means.forEach((service, mean) -> values.put(service, mean.value()));
            holds.put(route, values);
        });
        // A node that has not seen a call counts with none, hence the division by all executions.
        callMeans.forEach((route, means) -> {
            Map<RouteId, Double> values = new HashMap<>();
            means.forEach(
                    (child, mean) -> values.put(child, mean.sum / Math.max(1e-9, executions.getOrDefault(route, 0.0))));
            calls.put(route, values);
        });
    }

    /** Returns the slot milliseconds at each service for one request of the route. */
    Map<ServiceId, Double> of(RouteId route) {
        return of(route, new HashSet<>());
    }

    private Map<ServiceId, Double> of(RouteId route, Set<RouteId> above) {
        Map<ServiceId, Double> known = costs.get(route);
        if (known != null) {
            return known;
        }
        Map<ServiceId, Double> sum = new HashMap<>(own(route));
        if (above.add(route)) {
            calls.getOrDefault(route, Map.of()).forEach((child, ratio) -> of(child, above)
                    .forEach((service, cost) -> sum.merge(service, cost * ratio, Double::sum)));
            above.remove(route);
        }
        costs.put(route, sum);
        return sum;
    }

    private Map<ServiceId, Double> own(RouteId route) {
        TrafficSplit split = splits.apply(route);
        Map<ServiceId, Double> held = holds.getOrDefault(route, Map.of());
        if (split == null) {
            return Map.of();
        }
        double total =
                split.parts().stream().mapToDouble(TrafficSplit.Part::weight).sum();
        Map<ServiceId, Double> own = new HashMap<>();
        for (TrafficSplit.Part part : split.parts()) {
            own.merge(part.service(), part.weight() / total * held.getOrDefault(part.service(), 0.0), Double::sum);
        }
        return own;
    }
}
