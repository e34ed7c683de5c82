package org.trefoilledge.core;

/** Identifies a service. */
public record ServiceId(String value) implements Comparable<ServiceId> {
    /** Checks that the value is a valid name: 1 to 64 lower-case letters, digits, dots and hyphens. */
    public ServiceId {
        Names.check("service", value);
    }

    @Override
    public int compareTo(ServiceId other) {
        return value.compareTo(other.value);
    }

    // The generated methods of a record are slow before JIT compilation, and ids are keys of many maps.
    @Override
    public boolean equals(Object other) {
        return other instanceof ServiceId id && id.value.equals(value);
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
