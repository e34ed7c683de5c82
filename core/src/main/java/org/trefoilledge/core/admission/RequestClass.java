package org.trefoilledge.core.admission;

import java.util.Objects;
import org.trefoilledge.core.RouteId;

/**
 * The requests that are admitted alike.
 *
 * @param rank importance, 0 first
 */
public record RequestClass(RouteId route, int rank) {
    /** Checks that the route is present. */
    public RequestClass {
        Objects.requireNonNull(route, "route");
    }
}
