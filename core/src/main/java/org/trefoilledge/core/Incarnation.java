package org.trefoilledge.core;

/**
 * Identifies one run of a node on a host. The value is the wall-clock time of the start in milliseconds, so a later run
 * has a greater value.
 */
public record Incarnation(long value) implements Comparable<Incarnation> {
    /** Checks that the value is not negative. */
    public Incarnation {
        if (value < 0) {
            throw new IllegalArgumentException("incarnation must not be negative, but was: " + value);
        }
    }

    @Override
    public int compareTo(Incarnation other) {
        return Long.compare(value, other.value);
    }

    // The generated methods of a record are slow before JIT compilation, and members are compared often.
    @Override
    public boolean equals(Object other) {
        return other instanceof Incarnation that && that.value == value;
    }

    @Override
    public int hashCode() {
        return Long.hashCode(value);
    }

    @Override
    public String toString() {
        return Long.toString(value);
    }
}
