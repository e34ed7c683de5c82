package org.trefoilledge.standin;

/** Range checks of arguments. Each throws {@link IllegalArgumentException} for a value outside its range. */
final class Checks {
    private Checks() {}

    static void requireNonNegative(String name, long value) {
        if (value < 0) {
            throw new IllegalArgumentException(name + " must not be negative, but was: " + value);
        }
    }

    static void requirePositive(String name, long value) {
        if (value < 1) {
            throw new IllegalArgumentException(name + " must be at least 1, but was: " + value);
        }
    }

    static void requireProbability(String name, double value) {
        if (!(value >= 0 && value <= 1)) {
            throw new IllegalArgumentException(name + " must be from 0 to 1, but was: " + value);
        }
    }
}
