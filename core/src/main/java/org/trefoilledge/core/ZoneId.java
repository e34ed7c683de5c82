package org.trefoilledge.core;

/** Identifies an availability zone. */
public record ZoneId(String value) implements Comparable<ZoneId> {
    /** Checks that the value is a valid name: 1 to 64 lower-case letters, digits, dots and hyphens. */
    public ZoneId {
        Names.check("zone", value);
    }

    @Override
    public int compareTo(ZoneId other) {
        return value.compareTo(other.value);
    }

    // The generated methods of a record are slow before JIT compilation, and ids are keys of many maps.
    @Override
    public boolean equals(Object other) {
        return other instanceof ZoneId id && id.value.equals(value);
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
