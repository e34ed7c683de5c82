package org.trefoilledge.core.overload;

import java.util.EnumSet;
import java.util.Set;

/**
 * Settings of a {@link Guard}.
 *
 * @param slots concurrent calls that the upstream announced
 * @param queuedCallsPerSlot queued calls of one importance class for each slot
 * @param minQueueCapacity smallest bound of the queue of a class, for upstreams with few slots
 * @param delayTargetMillis queue delay that counts as overload when it lasts
 * @param delayWindowMillis how long the queue delay must stay over its target to count as a standing delay
 * @param firstGeneration generation number at the start; a node passes its incarnation, so that numbers of an
 *     earlier run of the node are recognised as old
 * @param mechanisms the mechanisms that are switched on
 */
public record GuardSettings(
        int slots,
        int queuedCallsPerSlot,
        int minQueueCapacity,
        long delayTargetMillis,
        long delayWindowMillis,
        long firstGeneration,
        Set<Mechanism> mechanisms) {
    /** Checks that bounds and times are in range. */
    public GuardSettings {
        requireAtLeast("slots", slots, 1);
        requireAtLeast("queue per slot", queuedCallsPerSlot, 0);
        requireAtLeast("queue floor", minQueueCapacity, 1);
        requireAtLeast("delay target", delayTargetMillis, 1);
        requireAtLeast("delay window", delayWindowMillis, 0);
        requireAtLeast("first generation", firstGeneration, 0);
        mechanisms = Set.copyOf(mechanisms);
    }

    /** Returns the default settings for an upstream with the given slots, with every mechanism on. */
    public static GuardSettings defaults(int slots) {
        return new GuardSettings(slots, 4, 64, 20, 100, 0, EnumSet.allOf(Mechanism.class));
    }

    /** Returns a copy with the given first generation. */
    public GuardSettings withFirstGeneration(long generation) {
        return new GuardSettings(
                slots,
                queuedCallsPerSlot,
                minQueueCapacity,
                delayTargetMillis,
                delayWindowMillis,
                generation,
                mechanisms);
    }

    /** Returns a copy with the given mechanism switched off. */
    public GuardSettings without(Mechanism mechanism) {
        EnumSet<Mechanism> rest = EnumSet.noneOf(Mechanism.class);
        rest.addAll(mechanisms);
        rest.remove(mechanism);
        return withMechanisms(rest);
    }

    /** Returns a copy with exactly the given mechanisms switched on. */
    public GuardSettings withMechanisms(Set<Mechanism> enabled) {
        return new GuardSettings(
                slots,
                queuedCallsPerSlot,
                minQueueCapacity,
                delayTargetMillis,
                delayWindowMillis,
                firstGeneration,
                enabled);
    }

    /** Returns whether the mechanism is switched on. */
    public boolean isEnabled(Mechanism mechanism) {
        return mechanisms.contains(mechanism);
    }

    private static void requireAtLeast(String what, long value, long least) {
        if (value < least) {
            throw new IllegalArgumentException(what + " must be at least " + least + ", but was: " + value);
        }
    }
}
