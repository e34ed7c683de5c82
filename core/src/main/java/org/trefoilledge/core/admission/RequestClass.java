package org.trefoilledge.core.admission;

import java.util.Objects;
import org.trefoilledge.core.RouteId;

/**
 * Root requests of one route and rank, to which an admission plan assigns one admitted fraction.
 *
 * @param rank importance; 0 is the most important
 */
public record RequestClass(RouteId route, int rank) {
    /** Checks that the route is present. */
    public RequestClass {
        Objects.requireNonNull(route, "route");
    }

    // The generated methods of a record are slow before JIT compilation.
    @Override
    public boolean equals(Object other) {
        return other instanceof RequestClass that && that.rank == rank && that.route.equals(route);
    }

    @Override
    public int hashCode() {
        return 31 * route.hashCode() + rank;
    }
}
