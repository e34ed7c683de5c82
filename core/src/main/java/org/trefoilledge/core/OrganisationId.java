package org.trefoilledge.core;

/** Identifies an organisation. Its rate limit and burst apply across the whole fleet. */
public record OrganisationId(String value) implements Comparable<OrganisationId> {
    /** Checks that the value is a valid name: 1 to 64 lower-case letters, digits, dots and hyphens. */
    public OrganisationId {
        Names.check("organisation", value);
    }

    @Override
    public int compareTo(OrganisationId other) {
        return value.compareTo(other.value);
    }

    // The generated methods of a record are slow before JIT compilation, and ids are keys of many maps.
    @Override
    public boolean equals(Object other) {
        return other instanceof OrganisationId id && id.value.equals(value);
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
