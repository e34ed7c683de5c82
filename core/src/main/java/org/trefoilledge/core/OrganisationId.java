package org.trefoilledge.core;

/** Identifies an organisation, whose rate and burst count across the whole fleet. */
public record OrganisationId(String value) implements Comparable<OrganisationId> {
    /** Checks that the value is a valid name: 1 to 64 lower-case letters, digits, dots and hyphens. */
    public OrganisationId {
        Names.check("organisation", value);
    }

    @Override
    public int compareTo(OrganisationId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
