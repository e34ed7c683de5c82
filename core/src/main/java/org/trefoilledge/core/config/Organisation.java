package org.trefoilledge.core.config;

import java.util.List;
import org.trefoilledge.core.OrganisationId;

/**
 * An organisation of the inventory, with its rate limit over the whole fleet.
 *
 * @param rate root requests per second
 * @param burst root requests that may arrive at once
 * @param keys digests of the keys that are granted to the organisation
 */
public record Organisation(OrganisationId id, double rate, double burst, List<KeyDigest> keys) {
    /** Checks that rate and burst are positive, finite numbers. */
    public Organisation {
        if (!(rate > 0) || Double.isInfinite(rate)) {
            throw new IllegalArgumentException("organisation " + id + ": rate must be positive, but was: " + rate);
        }
        if (!(burst >= 1) || Double.isInfinite(burst)) {
            throw new IllegalArgumentException("organisation " + id + ": burst must be at least 1, but was: " + burst);
        }
        keys = List.copyOf(keys);
    }

    /** Returns a copy that also has the given key. */
    public Organisation withKey(KeyDigest key) {
        if (keys.contains(key)) {
            return this;
        }
        List<KeyDigest> extended = new java.util.ArrayList<>(keys);
        extended.add(key);
        return new Organisation(id, rate, burst, extended);
    }

    /** Returns a copy without the given key. */
    public Organisation withoutKey(KeyDigest key) {
        return new Organisation(
                id, rate, burst, keys.stream().filter(k -> !k.equals(key)).toList());
    }
}
