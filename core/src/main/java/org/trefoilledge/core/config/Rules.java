package org.trefoilledge.core.config;

/**
 * Rules that hold for the whole deployment.
 *
 * @param attemptBudget extra attempts for one root request, over its whole call tree
 * @param repeatHorizonMillis how long the outcome of an id is kept
 * @param defaultDeadlineMillis deadline of a request whose caller gives none
 * @param shardsPerZone shards of authority in each availability zone; fixed for the life of a deployment
 */
public record Rules(int attemptBudget, long repeatHorizonMillis, long defaultDeadlineMillis, int shardsPerZone) {
    /** The rules of a deployment that states none. */
    public static final Rules DEFAULT = new Rules(3, 600_000, 2_000, 16);

    /** Checks the ranges. */
    public Rules {
        checkRange("attempt-budget", attemptBudget, 0, 100);
        checkRange("repeat-horizon-ms", repeatHorizonMillis, 1_000, 86_400_000);
        checkRange("default-deadline-ms", defaultDeadlineMillis, 1, 600_000);
        checkRange("shards-per-zone", shardsPerZone, 1, 256);
    }

    private static void checkRange(String name, long value, long least, long most) {
        if (value < least || value > most) {
            throw new IllegalArgumentException(
                    "rules: " + name + " must be from " + least + " to " + most + ", but was: " + value);
        }
    }
}
