package org.trefoilledge.core;

/** Identifies a host, which runs one node and one upstream. */
public record HostId(String value) implements Comparable<HostId> {
    /** Checks that the value is a valid name: 1 to 64 lower-case letters, digits, dots and hyphens. */
    public HostId {
        Names.check("host", value);
    }

    @Override
    public int compareTo(HostId other) {
        return value.compareTo(other.value);
    }

    // The generated methods of a record are slow before JIT compilation, and ids are keys of many maps.
    @Override
    public boolean equals(Object other) {
        return other instanceof HostId id && id.value.equals(value);
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
