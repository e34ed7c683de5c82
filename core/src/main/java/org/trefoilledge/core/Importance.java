package org.trefoilledge.core;

/** How important a root request is. Its child calls inherit it. The most important comes first. */
public enum Importance {
    CRITICAL(0),
    HIGH(1),
    NORMAL(2),
    LOW(3);

    private final int number;

    Importance(int number) {
        this.number = number;
    }

    /** Returns the number that stands for this importance in messages. */
    public int number() {
        return number;
    }

    /** Returns the importance with the given number, the lowest one for an unknown number. */
    public static Importance of(int number) {
        for (Importance importance : values()) {
            if (importance.number == number) {
                return importance;
            }
        }
        return LOW;
    }
}
