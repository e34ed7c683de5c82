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
 * Answers a surge that a service deep in the call trees cannot serve. From what the nodes measured it works out how
 * much slot time the requests of each class need at each service, and admits the most important classes first until a
 * service is full. Classes of equal importance that need the full service get equal parts. Nodes that see the same
 * reports come to the same plan, and nodes of a zone that is cut off plan for what they still reach. Not thread-safe.
 */
public final class AdmissionPlanner {
    /** Part of a service's slots that is planned for; at full use queues grow without bound. */
    private static final double MAX_UTILISATION = 0.92;
    /** No class is refused entirely, so that it is noticed when its cost has fallen. */
    private static final double MIN_ADMITTED_FRACTION = 0.05;

    private static final double MIN_CORRECTION = 0.7;
    private static final double MAX_CORRECTION = 1.5;
    private static final double CORRECTION_DECREASE_FACTOR = 0.97;
    private static final double CORRECTION_INCREASE_FACTOR = 1.06;
    /** Wait for a slot above which the plan was too generous, if the slots are in use. */
    private static final double HIGH_QUEUE_DELAY_MILLIS = 25;
    /** Use of the slots below which a plan that refuses something was too strict, whatever waits at one upstream. */
    private static final double LOW_UTILISATION = 0.88;

    private final Map<ServiceId, Double> capacityCorrections = new HashMap<>();
    private Set<ServiceId> saturatedServices = Set.of();

    private static final class ServiceLoad {
        private double slots;
        private double busySlots;
        private double queueDelaySum;
        private int nodes;
    }

    /** Works out a plan from the latest loads of all nodes within reach. */
    public AdmissionPlan plan(Collection<NodeLoad> nodes, Function<RouteId, TrafficSplit> splits) {
        Map<ServiceId, ServiceLoad> services = sumByService(nodes);
        updateCorrections(services);
        CallTreeCosts costs = new CallTreeCosts(nodes, splits);
        Map<ServiceId, Double> room = new HashMap<>();
        services.forEach((id, service) ->
                room.put(id, service.slots * MAX_UTILISATION * 1_000 * capacityCorrections.getOrDefault(id, 1.0)));
        Map<RequestClass, Double> admitted = new HashMap<>();
        Set<ServiceId> nowFull = new HashSet<>();
        arrivalsByRank(nodes).forEach((rank, arrivals) -> admitRank(arrivals, costs, room, admitted, nowFull));
        saturatedServices = nowFull;
        admitted.replaceAll((requests, part) -> Math.max(MIN_ADMITTED_FRACTION, part));
        return new AdmissionPlan(admitted);
    }

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

    /** Corrects the capacity of a service by what its queues show: costs are averages, and slots can be slow. */
    private void updateCorrections(Map<ServiceId, ServiceLoad> services) {
        services.forEach((id, service) -> {
            double correction = capacityCorrections.getOrDefault(id, 1.0);
            boolean used = service.busySlots >= LOW_UTILISATION * service.slots;
            if (used && service.queueDelaySum / service.nodes > HIGH_QUEUE_DELAY_MILLIS) {
                correction *= CORRECTION_DECREASE_FACTOR;
            } else if (!used && saturatedServices.contains(id)) {
                correction *= CORRECTION_INCREASE_FACTOR;
            } else if (!saturatedServices.contains(id)) {
                correction += (1 - correction) * (CORRECTION_INCREASE_FACTOR - 1);
            }
            capacityCorrections.put(id, Math.max(MIN_CORRECTION, Math.min(MAX_CORRECTION, correction)));
        });
    }

    /** Returns the arrivals of all nodes by rank, in the order of the ranks. */
    private static Map<Integer, Map<RequestClass, Double>> arrivalsByRank(Collection<NodeLoad> nodes) {
        Map<Integer, Map<RequestClass, Double>> ranks = new TreeMap<>();
        for (NodeLoad node : nodes) {
            node.arrivals()
                    .forEach((requests, perSecond) -> ranks.computeIfAbsent(requests.rank(), rank -> new HashMap<>())
                            .merge(requests, perSecond, Double::sum));
        }
        return ranks;
    }

    /** Raises the parts of all classes of one rank together; a class stays where a service that it needs is full. */
    private static void admitRank(
            Map<RequestClass, Double> arrivals,
            CallTreeCosts costs,
            Map<ServiceId, Double> room,
            Map<RequestClass, Double> admitted,
            Set<ServiceId> full) {
        List<RequestClass> rising = new ArrayList<>(arrivals.keySet());
        double part = 0;
        while (!rising.isEmpty() && part < 1) {
            Map<ServiceId, Double> need = new HashMap<>();
            for (RequestClass requests : rising) {
                double perSecond = arrivals.get(requests);
                costs.slotMillis(requests.route())
                        .forEach((service, cost) -> need.merge(service, cost * perSecond, Double::sum));
            }
            double step = 1 - part;
            for (Map.Entry<ServiceId, Double> entry : need.entrySet()) {
                double left = Math.max(0, room.getOrDefault(entry.getKey(), 0.0));
                if (entry.getValue() > 0) {
                    step = Math.min(step, left / entry.getValue());
                }
            }
            double taken = step;
            need.forEach((service, perSecond) -> room.merge(service, -perSecond * taken, Double::sum));
            part += step;
            double reached = part;
            Set<ServiceId> exhausted = findExhausted(need, room);
            full.addAll(exhausted);
            rising.removeIf(requests -> {
                boolean stays = reached < 1
                        && costs.slotMillis(requests.route()).entrySet().stream()
                                .anyMatch(cost -> cost.getValue() > 0 && exhausted.contains(cost.getKey()));
                if (stays) {
                    admitted.put(requests, reached);
                }
                return stays;
            });
            if (exhausted.isEmpty()) {
                break;
            }
        }
    }

    private static Set<ServiceId> findExhausted(Map<ServiceId, Double> need, Map<ServiceId, Double> room) {
        Set<ServiceId> exhausted = new HashSet<>();
        need.forEach((service, perSecond) -> {
            if (perSecond > 0 && room.getOrDefault(service, 0.0) <= 1e-6 * perSecond) {
                exhausted.add(service);
            }
        });
        return exhausted;
    }
}
