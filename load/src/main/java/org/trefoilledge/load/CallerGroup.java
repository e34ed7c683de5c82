package org.trefoilledge.load;

import java.util.List;
import java.util.random.RandomGenerator;

/**
 * The callers of one organisation.
 *
 * @param key the key sent with each request, empty for none
 * @param rate root requests per second before the shape is applied
 * @param entitledRate the organisation's rate in the inventory, 0 if unknown
 * @param entitledBurst the organisation's burst in the inventory, 0 if unknown
 */
record CallerGroup(
        String organisation,
        String key,
        double rate,
        double entitledRate,
        double entitledBurst,
        RetryPolicy retry,
        RateShape shape,
        List<RouteLoad> mix) {
    CallerGroup {
        mix = List.copyOf(mix);
    }

    RouteLoad pickRoute(RandomGenerator random) {
        double remaining = random.nextDouble()
                * mix.stream().mapToDouble(RouteLoad::weight).sum();
        for (RouteLoad route : mix) {
            remaining -= route.weight();
            if (remaining < 0) {
                return route;
            }
        }
        return mix.get(mix.size() - 1);
    }
}
