package org.trefoilledge.core.admission;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import org.trefoilledge.core.RouteId;
import org.trefoilledge.core.ServiceId;
import org.trefoilledge.core.overload.RetryCost;
import org.trefoilledge.core.routing.TrafficSplit;

/** What one request of a route needs at each service, including all calls in its call tree. */
final class CallTreeCosts {
    private final Map<RouteId, Map<RouteId, Double>> callsPerExecution = new HashMap<>();
    private final Map<RouteId, Map<ServiceId, Double>> holdMillis = new HashMap<>();
    private final Map<RouteId, Map<ServiceId, Double>> cachedSlotMillis = new HashMap<>();
    private final Map<RouteId, Map<ServiceId, NestedCalls>> cachedNestedCalls = new HashMap<>();
    private final Function<RouteId, TrafficSplit> splits;
    private Map<RouteId, Map<ServiceId, Double>> healthyHoldMillis = Map.of();
    /** Expected arrivals of a nested call until one is accepted, for the services that reject calls. */
    private Map<ServiceId, Double> arrivalsPerCall = Map.of();

    /**
     * The nested calls of one request to a service.
     *
     * @param count number of calls
     * @param retryCost sum of the costs of one retry of each call
     */
    record NestedCalls(double count, double retryCost) {
        private static final NestedCalls NONE = new NestedCalls(0, 0);

        NestedCalls plus(NestedCalls other, double factor) {
            return new NestedCalls(count + factor * other.count, retryCost + factor * other.retryCost);
        }
    }

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

    /**
     * Corrects the measurements for failures. An execution that fails early makes fewer calls than it needs, so the calls
     * are at least those of the healthy costs. A rejected call holds its slot briefly and arrives again, so a nested call
     * takes the slot time of all its arrivals, but not more than the longest time known for one execution.
     *
     * @param healthyCosts costs as of before the failures
     * @param arrivals expected arrivals of a call until one is accepted, by failing service
     */
    void correctForFailures(CallTreeCosts healthyCosts, Map<ServiceId, Double> arrivals) {
        healthyCosts.callsPerExecution.forEach((route, calls) -> {
            Map<RouteId, Double> corrected = callsPerExecution.computeIfAbsent(route, r -> new HashMap<>());
            calls.forEach((child, ratio) -> corrected.merge(child, ratio, Math::max));
        });
        healthyHoldMillis = healthyCosts.holdMillis;
        arrivalsPerCall = Map.copyOf(arrivals);
    }

    /** Returns the slot time in milliseconds at each service for one request of the route. */
    Map<ServiceId, Double> slotMillis(RouteId route) {
        return cachedSlotMillis.computeIfAbsent(route, root -> {
            Map<ServiceId, Double> sum = new HashMap<>();
            destinationShares(root).forEach((service, share) -> sum.put(service, share * holdMillis(root, service)));
            addNestedSlotMillis(root, 1, sum, new HashSet<>());
            return sum;
        });
    }

    private void addNestedSlotMillis(RouteId route, double factor, Map<ServiceId, Double> sum, Set<RouteId> ancestors) {
        if (ancestors.add(route)) {
            callsPerExecution.getOrDefault(route, Map.of()).forEach((child, ratio) -> {
                double calls = factor * ratio;
                destinationShares(child)
                        .forEach((service, share) ->
                                sum.merge(service, calls * share * nestedHoldMillis(child, service), Double::sum));
                addNestedSlotMillis(child, calls, sum, ancestors);
            });
            ancestors.remove(route);
        }
    }

    /** Returns the nested calls to each service for one request of the route. */
    Map<ServiceId, NestedCalls> nestedCalls(RouteId route) {
        return cachedNestedCalls.computeIfAbsent(route, root -> {
            Map<ServiceId, NestedCalls> sum = new HashMap<>();
            addNestedCalls(root, 1, sum, new HashSet<>());
            return sum;
        });
    }

    private void addNestedCalls(RouteId route, double factor, Map<ServiceId, NestedCalls> sum, Set<RouteId> ancestors) {
        if (ancestors.add(route)) {
            callsPerExecution.getOrDefault(route, Map.of()).forEach((child, ratio) -> {
                double calls = factor * ratio;
                NestedCalls one = new NestedCalls(1, RetryCost.of(makesCalls(child)));
                destinationShares(child)
                        .forEach((service, share) -> sum.merge(
                                service,
                                NestedCalls.NONE.plus(one, calls * share),
                                (earlier, added) -> earlier.plus(added, 1)));
                addNestedCalls(child, calls, sum, ancestors);
            });
            ancestors.remove(route);
        }
    }

    /** Returns the sum of the costs of one retry of each nested call to the service. */
    double nestedRetryCost(RouteId route, ServiceId service) {
        return nestedCalls(route).getOrDefault(service, NestedCalls.NONE).retryCost();
    }

    /** Returns the cost of one retry of the root call, if it goes to the service. */
    double rootRetryCost(RouteId route, ServiceId service) {
        return destinationShares(route).getOrDefault(service, 0.0) * RetryCost.of(makesCalls(route));
    }

    private boolean makesCalls(RouteId route) {
        return !callsPerExecution.getOrDefault(route, Map.of()).isEmpty();
    }

    private double holdMillis(RouteId route, ServiceId service) {
        return holdMillis.getOrDefault(route, Map.of()).getOrDefault(service, 0.0);
    }

    /** Returns the time for which all arrivals of one nested call hold a slot. */
    private double nestedHoldMillis(RouteId route, ServiceId service) {
        double hold = holdMillis(route, service);
        double healthyHold = healthyHoldMillis.getOrDefault(route, Map.of()).getOrDefault(service, Double.MAX_VALUE);
        return Math.min(hold * arrivalsPerCall.getOrDefault(service, 1.0), Math.max(hold, healthyHold));
    }

    /** Returns the parts of the calls to a route that each service receives. */
    private Map<ServiceId, Double> destinationShares(RouteId route) {
        TrafficSplit split = splits.apply(route);
        if (split == null) {
            return Map.of();
        }
        double totalWeight = split.destinations().stream()
                .mapToDouble(TrafficSplit.Destination::weight)
                .sum();
        Map<ServiceId, Double> shares = new HashMap<>();
        split.destinations()
                .forEach(destination ->
                        shares.merge(destination.service(), destination.weight() / totalWeight, Double::sum));
        return shares;
    }
}
