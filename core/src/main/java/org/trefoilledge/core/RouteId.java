package org.trefoilledge.core;

/** Identifies a route of the inventory. */
public record RouteId(String value) implements Comparable<RouteId> {
    /** Checks that the value is a valid name: 1 to 64 lower-case letters, digits, dots and hyphens. */
    public RouteId {
        Names.check("route", value);
    }

    @Override
    public int compareTo(RouteId other) {
        return value.compareTo(other.value);
    }

    // The generated methods of a record are slow before JIT compilation, and ids are keys of many maps.
    @Override
    public boolean equals(Object other) {
        return other instanceof RouteId id && id.value.equals(value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }

    @Override
    public String toString() {
        return value;
    }
}
