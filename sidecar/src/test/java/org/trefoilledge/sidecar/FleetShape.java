package org.trefoilledge.sidecar;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.Set;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.OrganisationId;
import org.trefoilledge.core.ZoneId;
import org.trefoilledge.core.rate.RateTolerance;
import org.trefoilledge.core.routing.OrganisationPolicy;

/**
 * Size of a simulated fleet, and its organisations: a few large ones and many small ones.
 *
 * @param organisations number of organisations
 * @param over fraction of a limit by which the fleet may exceed it in a window
 * @param slack requests by which the fleet may exceed a limit in a window
 * @param windowMillis length of a window
 */
record FleetShape(int nodes, int zoneCount, int organisations, double over, double slack, long windowMillis) {
    private static final int LARGE_ORGANISATIONS = 5;
    private static final double LARGE_DEMAND_PER_SECOND = 30;
    private static final double SMALLEST_DEMAND_PER_SECOND = 0.3;
    private static final double LARGEST_SMALL_DEMAND_PER_SECOND = 4;

    List<ZoneId> zones() {
        List<ZoneId> zones = new ArrayList<>();
        for (int i = 0; i < zoneCount; i++) {
            zones.add(new ZoneId("zone-" + i));
        }
        return zones;
    }

    HostId host(int index) {
        return new HostId("host-" + index);
    }

    ZoneId zone(int index) {
        return zones().get(index % zoneCount);
    }

    RateTolerance tolerance() {
        return new RateTolerance(over, slack, windowMillis, zoneCount);
    }

    /** Returns the usual demand of an organisation, in requests per second. */
    double demandPerSecond(int organisation) {
        if (organisation < LARGE_ORGANISATIONS) {
            return LARGE_DEMAND_PER_SECOND;
        }
        double position =
                (double) (organisation - LARGE_ORGANISATIONS) / Math.max(1, organisations - LARGE_ORGANISATIONS - 1);
        return SMALLEST_DEMAND_PER_SECOND + position * (LARGEST_SMALL_DEMAND_PER_SECOND - SMALLEST_DEMAND_PER_SECOND);
    }

    /** Returns the limits: 1.6 times the usual demand as the rate, and one second of the rate as the burst. */
    List<OrganisationPolicy> policies() {
        List<OrganisationPolicy> policies = new ArrayList<>();
        for (int i = 0; i < organisations; i++) {
            double rate = 1.6 * demandPerSecond(i);
            policies.add(new OrganisationPolicy(
                    new OrganisationId("org-" + i), Set.of("key-" + i), OptionalInt.empty(), rate, rate));
        }
        return policies;
    }
}
