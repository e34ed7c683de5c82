package org.trefoilledge.core.config;

/**
 * Rules of the whole deployment.
 *
 * @param attemptBudget retries allowed for one root request in its whole call tree
 * @param repeatHorizonMillis time for which the outcome of a request id is retained
 * @param defaultDeadlineMillis deadline of a request whose caller sets none
 * @param shardsPerZone shards of authority in each availability zone; fixed by the first revision
 */
public record Rules(int attemptBudget, long repeatHorizonMillis, long defaultDeadlineMillis, int shardsPerZone) {
    /** The rules of a deployment that sets none. */
    public static final Rules DEFAULT = new Rules(3, 600_000, 2_000, 16);

    /** Checks the ranges. */
    public Rules {
        checkRange("attempt-budget", attemptBudget, 0, 100);
        checkRange("repeat-horizon-ms", repeatHorizonMillis, 1_000, 86_400_000);
        checkRange("default-deadline-ms", defaultDeadlineMillis, 1, 600_000);
        checkRange("shards-per-zone", shardsPerZone, 1, 256);
    }

    private static void checkRange(String name, long value, long minimum, long maximum) {
        if (value < minimum || value > maximum) {
            throw new IllegalArgumentException(
                    "rules: " + name + " must be from " + minimum + " to " + maximum + ", but was: " + value);
        }
    }
}
