package org.trefoilledge.core.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import org.trefoilledge.core.ServiceId;

/** Allocates slots and retries to classes of requests, most important rank first. Not thread-safe. */
final class Allocation {
    /** Every class is admitted at least in this fraction, so that a decrease of its cost is still measured. */
    static final double MIN_ADMITTED_FRACTION = 0.05;

    private final Map<Resource, Double> available;
    private final double minimumByRetries;
    private final Function<RequestClass, Map<Resource, Double>> needsOf;
    private final Map<RequestClass, Map<Resource, Double>> needs = new HashMap<>();
    /** The classes that are not admitted in full. */
    private final Map<RequestClass, Double> fractions = new HashMap<>();

    private final Set<Resource> exhausted = new HashSet<>();
    private final Set<RequestClass> limitedByRetries = new LinkedHashSet<>();

    /**
     * Creates an allocation.
     *
     * @param available resources at the start
     * @param minimumByRetries smallest admitted fraction of a class that is limited by retries
     * @param needsOf returns what one request of a class needs
     */
    Allocation(
            Map<Resource, Double> available,
            double minimumByRetries,
            Function<RequestClass, Map<Resource, Double>> needsOf) {
        this.available = new HashMap<>(available);
        this.minimumByRetries = minimumByRetries;
        this.needsOf = needsOf;
    }

    Allocation admitAll(Map<Integer, Map<RequestClass, Double>> arrivalsByRank) {
        arrivalsByRank.values().forEach(this::admitRank);
        return this;
    }

    Set<RequestClass> limitedByRetries() {
        return limitedByRetries;
    }

    /** Returns the services whose slots are exhausted. */
    Set<ServiceId> saturatedServices() {
        Set<ServiceId> services = new HashSet<>();
        exhausted.stream()
                .filter(resource -> resource.kind() == Resource.Kind.SLOTS)
                .forEach(resource -> services.add(resource.service()));
        return services;
    }

    /**
     * Returns the plan.
     *
     * @param exempt classes that are exempt from the limit by retries
     */
    AdmissionPlan toPlan(Set<RequestClass> exempt) {
        Map<RequestClass, Double> admitted = new HashMap<>();
        exempt.forEach(requests -> admitted.put(requests, 1.0));
        fractions.forEach((requests, fraction) -> {
            double min = limitedByRetries.contains(requests) ? minimumByRetries : MIN_ADMITTED_FRACTION;
            admitted.put(requests, Math.max(min, fraction));
        });
        return new AdmissionPlan(admitted, limitedByRetries);
    }

    private Map<Resource, Double> needs(RequestClass requests) {
        return needs.computeIfAbsent(requests, needsOf);
    }

    /**
     * Raises the admitted fractions of all classes of one rank together. A class keeps the fraction reached when a
     * resource that it needs is exhausted.
     */
    private void admitRank(Map<RequestClass, Double> arrivals) {
        List<RequestClass> growing = new ArrayList<>(arrivals.keySet());
        double fraction = 0;
        while (!growing.isEmpty() && fraction < 1) {
            Map<Resource, Double> total = new HashMap<>();
            for (RequestClass requests : growing) {
                double perSecond = arrivals.get(requests);
                needs(requests).forEach((resource, need) -> total.merge(resource, need * perSecond, Double::sum));
            }
            double step = 1 - fraction;
            for (Map.Entry<Resource, Double> entry : total.entrySet()) {
                double remaining = Math.max(0, available.getOrDefault(entry.getKey(), 0.0));
                if (entry.getValue() > 0) {
                    step = Math.min(step, remaining / entry.getValue());
                }
            }
            double addedFraction = step;
            total.forEach((resource, need) -> available.merge(resource, -need * addedFraction, Double::sum));
            fraction += step;
            Set<Resource> newlyExhausted = findExhausted(total);
            exhausted.addAll(newlyExhausted);
            stopGrowth(growing, fraction, newlyExhausted);
            if (newlyExhausted.isEmpty()) {
                break;
            }
        }
    }

    private Set<Resource> findExhausted(Map<Resource, Double> total) {
        Set<Resource> found = new HashSet<>();
        total.forEach((resource, need) -> {
            if (need > 0 && available.getOrDefault(resource, 0.0) <= 1e-6 * need) {
                found.add(resource);
            }
        });
        return found;
    }

    private void stopGrowth(List<RequestClass> growing, double fraction, Set<Resource> newlyExhausted) {
        growing.removeIf(requests -> {
            Set<Resource> needed = needs(requests).keySet();
            boolean limited = fraction < 1 && needed.stream().anyMatch(newlyExhausted::contains);
            if (limited) {
                fractions.put(requests, fraction);
                // Without retries, most admitted trees fail, also if slots have limited the class first.
                if (needed.stream()
                        .anyMatch(
                                resource -> resource.kind() == Resource.Kind.RETRIES && exhausted.contains(resource))) {
                    limitedByRetries.add(requests);
                }
            }
            return limited;
        });
    }
}
