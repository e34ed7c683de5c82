package org.trefoilledge.core.admission;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import org.trefoilledge.core.RouteId;
import org.trefoilledge.core.ServiceId;
import org.trefoilledge.core.routing.TrafficSplit;

/**
 * Computes admission plans that limit surges exceeding the capacity of a service deep in the call trees. From the load
 * reports of the nodes, the planner computes the slot time that the requests of each class need at each service, and
 * admits the most important classes first until a service is exhausted. Classes of equal rank that need an exhausted
 * service are admitted in equal fractions. Nodes with the same reports compute the same plan, and nodes of a
 * partitioned zone plan for the services that they can reach. Not thread-safe.
 */
public final class AdmissionPlanner {
    /** Fraction of a service's slots that a plan may use; at full utilisation, queues grow without bound. */
    private static final double MAX_UTILISATION = 0.92;
    /** Every class is admitted at least in this fraction, so that a decrease of its cost is still measured. */
    private static final double MIN_ADMITTED_FRACTION = 0.05;

    /** Bounds of the correction factor of a service's capacity. */
    private static final double MIN_CORRECTION = 0.7;

    private static final double MAX_CORRECTION = 1.5;
    private static final double CORRECTION_DECREASE_FACTOR = 0.97;
    private static final double CORRECTION_INCREASE_FACTOR = 1.06;
    /** Average wait for a slot above which the plan admitted too much, if the slots are in use. */
    private static final double HIGH_QUEUE_DELAY_MILLIS = 25;
    /** Slot utilisation below which a plan that refuses requests is too strict, even if one upstream has a queue. */
    private static final double LOW_UTILISATION = 0.88;

    private final Map<ServiceId, Double> capacityCorrections = new HashMap<>();
    private Set<ServiceId> saturatedServices = Set.of();

    private static final class ServiceLoad {
        private double slots;
        private double busySlots;
        private double queueDelaySum;
        private int nodes;
    }

    /**
     * Computes a plan from the latest loads of all reachable nodes.
     *
     * @param splits returns the services of a route, or null for an unknown route
     */
    public AdmissionPlan plan(Collection<NodeLoad> nodes, Function<RouteId, TrafficSplit> splits) {
        Map<ServiceId, ServiceLoad> services = sumByService(nodes);
        updateCorrections(services);
        CallTreeCosts costs = new CallTreeCosts(nodes, splits);
        Map<ServiceId, Double> available = new HashMap<>();
        services.forEach((id, service) ->
                available.put(id, service.slots * MAX_UTILISATION * 1_000 * capacityCorrections.getOrDefault(id, 1.0)));
        Map<RequestClass, Double> fractions = new HashMap<>();
        Set<ServiceId> exhausted = new HashSet<>();
        arrivalsByRank(nodes).forEach((rank, arrivals) -> admitRank(arrivals, costs, available, fractions, exhausted));
        saturatedServices = exhausted;
        fractions.replaceAll((requestClass, fraction) -> Math.max(MIN_ADMITTED_FRACTION, fraction));
        return new AdmissionPlan(fractions);
    }

    /** Sums the loads of the nodes whose upstream accepts requests. */
    private static Map<ServiceId, ServiceLoad> sumByService(Collection<NodeLoad> nodes) {
        Map<ServiceId, ServiceLoad> services = new HashMap<>();
        for (NodeLoad node : nodes) {
            if (node.slots() > 0) {
                ServiceLoad service = services.computeIfAbsent(node.service(), s -> new ServiceLoad());
                service.slots += node.slots();
                service.busySlots += node.busySlots();
                service.queueDelaySum += node.nodes() * node.queueDelayMillis();
                service.nodes += node.nodes();
            }
        }
        return services;
    }

    /**
     * Adjusts the assumed capacity of each service to its observed queues, because costs are averages and slots can be
     * slow.
     */
    private void updateCorrections(Map<ServiceId, ServiceLoad> services) {
        services.forEach((id, service) -> {
            double correction = capacityCorrections.getOrDefault(id, 1.0);
            boolean highUtilisation = service.busySlots >= LOW_UTILISATION * service.slots;
            if (highUtilisation && service.queueDelaySum / service.nodes > HIGH_QUEUE_DELAY_MILLIS) {
                correction *= CORRECTION_DECREASE_FACTOR;
            } else if (!highUtilisation && saturatedServices.contains(id)) {
                correction *= CORRECTION_INCREASE_FACTOR;
            } else if (!saturatedServices.contains(id)) {
                correction += (1 - correction) * (CORRECTION_INCREASE_FACTOR - 1);
            }
            capacityCorrections.put(id, Math.max(MIN_CORRECTION, Math.min(MAX_CORRECTION, correction)));
        });
    }

    /** Returns the arrival rates of all nodes by rank, most important rank first. */
    private static Map<Integer, Map<RequestClass, Double>> arrivalsByRank(Collection<NodeLoad> nodes) {
        Map<Integer, Map<RequestClass, Double>> ranks = new TreeMap<>();
        for (NodeLoad node : nodes) {
            node.arrivals().forEach((requestClass, perSecond) -> ranks.computeIfAbsent(
                            requestClass.rank(), rank -> new HashMap<>())
                    .merge(requestClass, perSecond, Double::sum));
        }
        return ranks;
    }

    /**
     * Raises the admitted fractions of all classes of one rank together. A class keeps the fraction reached when a
     * service that it needs is exhausted.
     *
     * @param available slot milliseconds per second left at each service; reduced by what is admitted
     * @param fractions receives the classes that are not admitted in full
     * @param saturated receives the exhausted services
     */
    private static void admitRank(
            Map<RequestClass, Double> arrivals,
            CallTreeCosts costs,
            Map<ServiceId, Double> available,
            Map<RequestClass, Double> fractions,
            Set<ServiceId> saturated) {
        List<RequestClass> growing = new ArrayList<>(arrivals.keySet());
        double fraction = 0;
        while (!growing.isEmpty() && fraction < 1) {
            Map<ServiceId, Double> need = new HashMap<>();
            for (RequestClass requestClass : growing) {
                double perSecond = arrivals.get(requestClass);
                costs.slotMillis(requestClass.route())
                        .forEach((service, cost) -> need.merge(service, cost * perSecond, Double::sum));
            }
            double step = 1 - fraction;
            for (Map.Entry<ServiceId, Double> entry : need.entrySet()) {
                double remaining = Math.max(0, available.getOrDefault(entry.getKey(), 0.0));
                if (entry.getValue() > 0) {
                    step = Math.min(step, remaining / entry.getValue());
                }
            }
            double addedFraction = step;
            need.forEach((service, slotMillis) -> available.merge(service, -slotMillis * addedFraction, Double::sum));
            fraction += step;
            double reachedFraction = fraction;
            Set<ServiceId> exhausted = findExhausted(need, available);
            saturated.addAll(exhausted);
            growing.removeIf(requestClass -> {
                boolean limited = reachedFraction < 1
                        && costs.slotMillis(requestClass.route()).entrySet().stream()
                                .anyMatch(cost -> cost.getValue() > 0 && exhausted.contains(cost.getKey()));
                if (limited) {
                    fractions.put(requestClass, reachedFraction);
                }
                return limited;
            });
            if (exhausted.isEmpty()) {
                break;
            }
        }
    }

    private static Set<ServiceId> findExhausted(Map<ServiceId, Double> need, Map<ServiceId, Double> available) {
        Set<ServiceId> exhausted = new HashSet<>();
        need.forEach((service, slotMillis) -> {
            if (slotMillis > 0 && available.getOrDefault(service, 0.0) <= 1e-6 * slotMillis) {
                exhausted.add(service);
            }
        });
        return exhausted;
    }
}
