package org.trefoilledge.core.admission;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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
 * partitioned zone plan for the services that they can reach.
 *
 * <p>If retries are bounded, the planner also answers services whose upstreams reject a part of their calls: the retries
 * that call trees need there are a resource beside the slots. A class that would complete more trees without this
 * limit, because its trees make few such calls, is exempt from it. Not thread-safe.
 */
public final class AdmissionPlanner {
    /** Fraction of a service's slots that a plan may use; at full utilisation, queues grow without bound. */
    private static final double MAX_UTILISATION = 0.92;
    /** The same for classes limited by retries, whose trees mostly fail; other calls reveal the end of the failures. */
    private static final double MAX_MINIMUM_BY_RETRIES = 0.01;
    /** Smallest value of that fraction; some calls per second are enough. */
    private static final double MIN_MINIMUM_BY_RETRIES = 0.001;
    /** Part of the retries that these fractions may use. */
    private static final double MINIMUM_SHARE_OF_RETRIES = 0.03;
    /** Time after a failure from which measured costs count as those of a healthy service. */
    private static final long HEALTHY_COSTS_DELAY_MILLIS = 5_000;
    /** Factor by which an exemption from the limit by retries has to increase the completed trees. */
    private static final double MIN_EXEMPTION_GAIN = 1.1;

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
    private final Optional<FailingServices> failingServices;
    private Set<ServiceId> saturatedServices = Set.of();
    /** Costs as of the last plan without failing services; null until then. */
    private CallTreeCosts healthyCosts;
    /** Classes that the last plan exempted from the limit by retries. */
    private Set<RequestClass> exemptClasses = Set.of();

    private static final class ServiceLoad {
        private double slots;
        private double busySlots;
        private double queueDelaySum;
        private int nodes;
    }

    /** Creates a planner that ignores retries. */
    public AdmissionPlanner() {
        failingServices = Optional.empty();
    }

    /**
     * Creates a planner that admits no more call trees than the retries allow while upstreams reject calls.
     *
     * @param bounds retries of the whole fleet
     */
    public AdmissionPlanner(RetryBounds bounds) {
        failingServices = Optional.of(new FailingServices(bounds));
    }

    /**
     * Computes a plan from the latest loads of all reachable nodes.
     *
     * @param splits returns the services of a route, or null for an unknown route
     * @param now current time in milliseconds
     */
    public AdmissionPlan plan(Collection<NodeLoad> nodes, Function<RouteId, TrafficSplit> splits, long now) {
        Map<ServiceId, ServiceLoad> services = sumByService(nodes);
        updateCorrections(services);
        CallTreeCosts costs = new CallTreeCosts(nodes, splits);
        Map<Resource, Double> available = availableSlots(services);
        Map<Integer, Map<RequestClass, Double>> arrivals = arrivalsByRank(nodes);
        failingServices.ifPresent(failing -> failing.record(nodes, now));
        Allocation allocation = failingServices
                .filter(failing -> !failing.isEmpty())
                .map(failing -> allocateRetries(arrivals, costs, available, failing))
                .orElseGet(() -> allocateSlots(arrivals, costs, available));
        saturatedServices = allocation.saturatedServices();
        return allocation.toPlan(exemptClasses);
    }

    private Allocation allocateSlots(
            Map<Integer, Map<RequestClass, Double>> arrivals, CallTreeCosts costs, Map<Resource, Double> available) {
        // Costs measured during a failure, or soon after it, lack the calls that failed trees have not made.
        if (healthyCosts == null
                || !failingServices
                        .map(failing -> failing.failedWithin(HEALTHY_COSTS_DELAY_MILLIS))
                        .orElse(false)) {
            healthyCosts = costs;
        }
        exemptClasses = Set.of();
        return new Allocation(available, Allocation.MIN_ADMITTED_FRACTION, requests -> slotNeeds(costs, requests))
                .admitAll(arrivals);
    }

    /** Allocates slots and the retries of the failing services. */
    private Allocation allocateRetries(
            Map<Integer, Map<RequestClass, Double>> arrivals,
            CallTreeCosts costs,
            Map<Resource, Double> available,
            FailingServices failing) {
        Map<ServiceId, Double> arrivalsPerCall = new HashMap<>();
        for (ServiceId service : failing.rejectionRates().keySet()) {
            arrivalsPerCall.put(service, 1 + failing.retriesPerCall(service));
        }
        if (healthyCosts != null) {
            costs.correctForFailures(healthyCosts, arrivalsPerCall);
        }
        Map<RequestClass, Double> allArrivals = new HashMap<>();
        arrivals.values().forEach(allArrivals::putAll);
        double minFraction = MAX_MINIMUM_BY_RETRIES;
        for (ServiceId service : failing.rejectionRates().keySet()) {
            double retries = nestedRetries(allArrivals, costs, failing, service);
            double needed = neededRetries(allArrivals, costs, failing, service);
            minFraction = Math.min(minFraction, MINIMUM_SHARE_OF_RETRIES * retries / Math.max(1e-9, needed));
        }
        for (ServiceId service : failing.rejectionRates().keySet()) {
            double retries = nestedRetries(allArrivals, costs, failing, service);
            double reserved = minFraction * neededRetries(allArrivals, costs, failing, service);
            available.put(new Resource(service, Resource.Kind.RETRIES), Math.max(0, retries - reserved));
        }
        double minimum = Math.max(MIN_MINIMUM_BY_RETRIES, minFraction);
        CompletionModel model = new CompletionModel(allArrivals, costs, failing);
        Function<Set<RequestClass>, Allocation> allocate =
                exempt -> new Allocation(available, minimum, requests -> needs(costs, failing, requests, exempt))
                        .admitAll(arrivals);
        return exemptClasses(allocate, model);
    }

    private static double nestedRetries(
            Map<RequestClass, Double> arrivals, CallTreeCosts costs, FailingServices failing, ServiceId service) {
        return Math.max(0, failing.retriesPerSecond(service) - rootRetries(arrivals, costs, failing, service));
    }

    /** Returns the retries per second of the root requests to the service itself. */
    private static double rootRetries(
            Map<RequestClass, Double> arrivals, CallTreeCosts costs, FailingServices failing, ServiceId service) {
        if (!failing.grantsRootRetries(service)) {
            return 0;
        }
        return failing.retriesPerCall(service)
                * arrivals.entrySet().stream()
                        .mapToDouble(entry -> entry.getValue()
                                * costs.rootRetryCost(entry.getKey().route(), service))
                        .sum();
    }

    /** Returns the retries per second that all call trees would need at the service. */
    private static double neededRetries(
            Map<RequestClass, Double> arrivals, CallTreeCosts costs, FailingServices failing, ServiceId service) {
        return failing.retriesPerCall(service)
                * arrivals.entrySet().stream()
                        .mapToDouble(entry -> entry.getValue()
                                * costs.nestedRetryCost(entry.getKey().route(), service))
                        .sum();
    }

    /**
     * Returns the allocation in which those classes are exempt from the limit by retries of which more trees complete
     * that way. The classes are tried in the order of the plan, each in addition to those accepted before.
     */
    private Allocation exemptClasses(Function<Set<RequestClass>, Allocation> allocate, CompletionModel model) {
        Set<RequestClass> exempt = new HashSet<>();
        Allocation best = allocate.apply(exempt);
        double bestCompletions = model.completionsPerSecond(best.toPlan(exempt));
        for (RequestClass requests : List.copyOf(best.limitedByRetries())) {
            Set<RequestClass> candidate = new HashSet<>(exempt);
            candidate.add(requests);
            Allocation allocation = allocate.apply(candidate);
            double completions = model.completionsPerSecond(allocation.toPlan(candidate));
            // An exemption in force is kept as long as it is no worse by the same factor, so that plans do not
            // alternate.
            double requiredGain = exemptClasses.contains(requests) ? 1 / MIN_EXEMPTION_GAIN : MIN_EXEMPTION_GAIN;
            if (completions > requiredGain * bestCompletions) {
                exempt = candidate;
                best = allocation;
                bestCompletions = completions;
            }
        }
        exemptClasses = exempt;
        return best;
    }

    private Map<Resource, Double> availableSlots(Map<ServiceId, ServiceLoad> services) {
        Map<Resource, Double> available = new HashMap<>();
        services.forEach((id, service) -> available.put(
                new Resource(id, Resource.Kind.SLOTS),
                service.slots * MAX_UTILISATION * 1_000 * capacityCorrections.getOrDefault(id, 1.0)));
        return available;
    }

    private static Map<Resource, Double> slotNeeds(CallTreeCosts costs, RequestClass requests) {
        Map<Resource, Double> needs = new HashMap<>();
        costs.slotMillis(requests.route()).forEach((service, millis) -> {
            if (millis > 0) {
                needs.put(new Resource(service, Resource.Kind.SLOTS), millis);
            }
        });
        return needs;
    }

    private static Map<Resource, Double> needs(
            CallTreeCosts costs, FailingServices failing, RequestClass requests, Set<RequestClass> exempt) {
        Map<Resource, Double> needs = slotNeeds(costs, requests);
        if (!exempt.contains(requests)) {
            costs.nestedCalls(requests.route()).forEach((service, calls) -> {
                double retries = calls.retryCost() * failing.retriesPerCall(service);
                if (retries > 0) {
                    needs.put(new Resource(service, Resource.Kind.RETRIES), retries);
                }
            });
        }
        return needs;
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
}
