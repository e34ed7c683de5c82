package org.trefoilledge.load;

import java.util.Map;
import java.util.TreeMap;

/** Computes weighted max-min fair shares of a capacity. */
final class FairShare {
    private FairShare() {}

    /**
     * Returns the share of each organisation: at most its demand, with unused capacity divided among the others by
     * weight.
     *
     * @param demand requests demanded by each organisation
     * @param weight weight of each organisation, with the same keys
     */
    static Map<String, Double> divide(double capacity, Map<String, Double> demand, Map<String, Double> weight) {
        Map<String, Double> shares = new TreeMap<>();
        Map<String, Double> open = new TreeMap<>(demand);
        double remaining = Math.max(0, capacity);
        while (!open.isEmpty()) {
            double weights = open.keySet().stream().mapToDouble(weight::get).sum();
            double perWeight = remaining / weights;
            double before = remaining;
            Map<String, Double> satisfied = new TreeMap<>();
            open.forEach((id, wanted) -> {
                if (wanted <= perWeight * weight.get(id)) {
                    satisfied.put(id, wanted);
                }
            });
            if (satisfied.isEmpty()) {
                open.keySet().forEach(id -> shares.put(id, perWeight * weight.get(id)));
                return shares;
            }
            shares.putAll(satisfied);
            open.keySet().removeAll(satisfied.keySet());
            remaining = Math.max(
                    0, before - satisfied.values().stream().mapToDouble(d -> d).sum());
        }
        return shares;
    }
}
