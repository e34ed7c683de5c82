package org.trefoilledge.core.placement;

import com.dynatrace.hash4j.hashing.Hashing;
import org.trefoilledge.core.HostId;

/**
 * Settings of a {@link Placer}.
 *
 * @param twoChoices whether the less loaded of two random upstreams is chosen instead of one random upstream
 * @param ejection whether an upstream is avoided after consecutive failures
 * @param subsetSize maximum number of upstreams of one service used in the local zone, and likewise in other zones
 * @param subsetSeed seed for the selection of the subset, different on each node
 * @param spilloverLoad estimated load of the local zone above which other zones are used
 * @param failuresToEject number of consecutive unreachable calls after which an upstream is ejected
 * @param initialEjectionMillis duration of the first ejection; doubles with each consecutive ejection
 * @param maxEjectionMillis maximum duration of an ejection
 * @param maxReportAgeMillis age from which a load report is ignored
 * @param expectedTime whether upstreams are compared by the expected time of a call instead of by their load
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
        long maxReportAgeMillis,
        boolean expectedTime) {
    /** Below 0.9, so that calls leave a zone whose upstream of ten slots has one slot left. */
    private static final double DEFAULT_SPILLOVER_LOAD = 0.88;

    /** Checks that sizes and times are in range. */
    public PlacementSettings {
        requirePositive("subset size", subsetSize);
        requirePositive("failures to eject", failuresToEject);
        requirePositive("initial ejection time", initialEjectionMillis);
        requirePositive("maximum ejection time", maxEjectionMillis);
        requirePositive("maximum report age", maxReportAgeMillis);
        if (!(spilloverLoad > 0)) {
            throw new IllegalArgumentException("spillover load must be positive, but was: " + spilloverLoad);
        }
    }

    /** Returns the default settings for the node on the given host, with all mechanisms enabled. */
    public static PlacementSettings defaults(HostId host) {
        long seed = Hashing.xxh3_64().hashCharsToLong(host.value());
        return new PlacementSettings(true, true, 20, seed, DEFAULT_SPILLOVER_LOAD, 2, 1_000, 30_000, 1_000, false);
    }

    /** Returns a copy with two random choices and ejection enabled or disabled. */
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
                maxReportAgeMillis,
                expectedTime);
    }

    /** Returns a copy that compares upstreams by the expected time of a call. */
    public PlacementSettings withExpectedTime() {
        return new PlacementSettings(
                twoChoices,
                ejection,
                subsetSize,
                subsetSeed,
                spilloverLoad,
                failuresToEject,
                initialEjectionMillis,
                maxEjectionMillis,
                maxReportAgeMillis,
                true);
    }

    private static void requirePositive(String name, long value) {
        if (value < 1) {
            throw new IllegalArgumentException(name + " must be at least 1, but was: " + value);
        }
    }
}
