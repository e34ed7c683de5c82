package org.trefoilledge.core.routing;

import java.util.Objects;
import java.util.OptionalInt;
import java.util.Set;
import org.trefoilledge.core.OrganisationId;

/**
 * An organisation with its keys and its rate limit.
 *
 * @param priority priority that decides before the priority of the route, if present; 0 is the highest
 * @param ratePerSecond requests per second across the whole fleet; 0 for no limit
 * @param burst requests allowed above the rate, across the whole fleet
 */
public record OrganisationPolicy(
        OrganisationId id, Set<String> keys, OptionalInt priority, double ratePerSecond, double burst) {
    /** Checks that all components are present and in range. */
    public OrganisationPolicy {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(priority, "priority");
        keys = Set.copyOf(keys);
        if (!(ratePerSecond >= 0) || !(burst >= 0)) {
            throw new IllegalArgumentException("rate and burst of " + id + " must not be negative");
        }
    }

    /** Returns whether the organisation has a rate limit. */
    public boolean hasRateLimit() {
        return ratePerSecond > 0;
    }
}
