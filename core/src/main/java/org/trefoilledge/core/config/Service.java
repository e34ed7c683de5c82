package org.trefoilledge.core.config;

import org.trefoilledge.core.ServiceId;

/**
 * A service of the inventory.
 *
 * @param slots concurrent requests that one upstream can execute; overridden by the announcement of the upstream
 * @param connections connections that one upstream accepts
 */
public record Service(ServiceId id, int slots, int connections) {
    /** Checks that the counts are positive. */
    public Service {
        if (slots < 1) {
            throw new IllegalArgumentException("service " + id + ": slots must be at least 1, but was: " + slots);
        }
        if (connections < 1) {
            throw new IllegalArgumentException(
                    "service " + id + ": connections must be at least 1, but was: " + connections);
        }
    }
}
