package org.trefoilledge.core.placement;

import com.dynatrace.hash4j.hashing.Hashing;
import org.trefoilledge.core.HostId;

/**
 * Settings of a {@link Placer}.
 *
 * @param twoChoices whether the less loaded of two random upstreams is chosen instead of one random upstream
 * @param ejection whether an upstream is avoided after consecutive failures
 * @param subsetSize upstreams of one service, in the own zone and in other zones each, that this node uses
 * @param subsetSeed seed of the choice of the subset, different on each node
 * @param spilloverLoad estimated load of the own zone above which other zones are used
 * @param failuresToEject consecutive unreachable calls after which an upstream is ejected
 * @param initialEjectionMillis duration of the first ejection; it doubles with each one that follows
 * @param maxEjectionMillis bound of that duration
 * @param maxReportAgeMillis age at which a load report no longer counts
 */
public record PlacementSettings(
        boolean twoChoices,
        boolean ejection,
        int subsetSize,
        long subsetSeed,
        double spilloverLoad,
        int failuresToEject,
        long initialEjectionMillis,
        long maxEjectionMillis,
        long maxReportAgeMillis) {
    /** Checks that sizes and times are in range. */
    public PlacementSettings {
        requirePositive("subset size", subsetSize);
        requirePositive("failures to eject", failuresToEject);
        requirePositive("ejection time", initialEjectionMillis);
        requirePositive("longest ejection time", maxEjectionMillis);
        requirePositive("report time", maxReportAgeMillis);
        if (!(spilloverLoad > 0)) {
            throw new IllegalArgumentException("spill load must be positive, but was: " + spilloverLoad);
        }
    }

    /** Returns the default settings for the node on the given host, with every mechanism on. */
    public static PlacementSettings defaults(HostId host) {
        long seed = Hashing.xxh3_64().hashCharsToLong(host.value());
        return new PlacementSettings(true, true, 20, seed, 0.8, 2, 1_000, 30_000, 1_000);
    }

    /** Returns a copy with the two switches set. */
    public PlacementSettings withMechanisms(boolean useTwoChoices, boolean useEjection) {
        return new PlacementSettings(
                useTwoChoices,
                useEjection,
                subsetSize,
                subsetSeed,
                spilloverLoad,
                failuresToEject,
                initialEjectionMillis,
                maxEjectionMillis,
                maxReportAgeMillis);
    }

    private static void requirePositive(String what, long value) {
        if (value < 1) {
            throw new IllegalArgumentException(what + " must be at least 1, but was: " + value);
        }
    }
}
