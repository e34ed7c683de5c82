package org.trefoilledge.core.overload;

import java.util.EnumSet;
import java.util.Set;

/**
 * Settings of a {@link Guard}.
 *
 * @param slots number of concurrent calls that the upstream announced
 * @param queuedCallsPerSlot queue capacity of one importance class for each slot
 * @param minQueueCapacity minimum queue capacity of an importance class, for upstreams with few slots
 * @param delayTargetMillis queue delay above which the upstream counts as overloaded if the delay persists
 * @param delayWindowMillis time for which the queue delay must exceed its target to count as a standing delay
 * @param firstGeneration initial generation number; a node passes its incarnation, so that generations of its
 *     earlier incarnations are recognised as stale
 * @param mechanisms the enabled mechanisms
 */
public record GuardSettings(
        int slots,
        int queuedCallsPerSlot,
        int minQueueCapacity,
        long delayTargetMillis,
        long delayWindowMillis,
        long firstGeneration,
        Set<Mechanism> mechanisms) {
    /** Checks that capacities and times are in range. */
    public GuardSettings {
        requireAtLeast("slots", slots, 1);
        requireAtLeast("queued calls per slot", queuedCallsPerSlot, 0);
        requireAtLeast("minimum queue capacity", minQueueCapacity, 1);
        requireAtLeast("delay target", delayTargetMillis, 1);
        requireAtLeast("delay window", delayWindowMillis, 0);
        requireAtLeast("first generation", firstGeneration, 0);
        mechanisms = Set.copyOf(mechanisms);
    }

    /** Returns the default settings for an upstream with the given slots, with every mechanism enabled. */
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

    /** Returns a copy with the given mechanism disabled. */
    public GuardSettings without(Mechanism mechanism) {
        EnumSet<Mechanism> rest = EnumSet.noneOf(Mechanism.class);
        rest.addAll(mechanisms);
        rest.remove(mechanism);
        return withMechanisms(rest);
    }

    /** Returns a copy with exactly the given mechanisms enabled. */
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

    /** Returns whether the mechanism is enabled. */
    public boolean isEnabled(Mechanism mechanism) {
        return mechanisms.contains(mechanism);
    }

    private static void requireAtLeast(String name, long value, long minimum) {
        if (value < minimum) {
            throw new IllegalArgumentException(name + " must be at least " + minimum + ", but was: " + value);
        }
    }
}
