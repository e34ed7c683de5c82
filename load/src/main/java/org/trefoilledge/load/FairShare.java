package org.trefoilledge.load;

import java.util.Map;
import java.util.TreeMap;

/** Weighted max-min fair division of what was served. */
final class FairShare {
    private FairShare() {}

    /**
     * Returns what each organisation is entitled to: no more than its demand, and what others do not need is divided
     * by weight.
     *
     * @param demand requests that each organisation may ask for
     * @param weight weight of each organisation, with the same keys
     */
    static Map<String, Double> divide(double capacity, Map<String, Double> demand, Map<String, Double> weight) {
        Map<String, Double> shares = new TreeMap<>();
        Map<String, Double> open = new TreeMap<>(demand);
        double left = Math.max(0, capacity);
        while (!open.isEmpty()) {
            double weights = open.keySet().stream().mapToDouble(weight::get).sum();
            double perWeight = left / weights;
            double before = left;
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
            left = Math.max(
                    0, before - satisfied.values().stream().mapToDouble(d -> d).sum());
        }
        return shares;
    }
}
