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

    @Override
    public String toString() {
        return value;
    }
}
