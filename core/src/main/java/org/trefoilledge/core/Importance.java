package org.trefoilledge.core;

/** Importance of a root request, inherited by its child calls. Constants are ordered from most to least important. */
public enum Importance {
    CRITICAL(0),
    HIGH(1),
    NORMAL(2),
    LOW(3);

    private final int number;

    Importance(int number) {
        this.number = number;
    }

    /** Returns the number that represents this importance in messages between nodes. */
    public int number() {
        return number;
    }

    /** Returns the importance with the given number, or {@link #LOW} for an unknown number. */
    public static Importance of(int number) {
        for (Importance importance : values()) {
            if (importance.number == number) {
                return importance;
            }
        }
        return LOW;
    }
}
