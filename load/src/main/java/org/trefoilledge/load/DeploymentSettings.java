package org.trefoilledge.load;

import java.nio.file.Path;
import java.util.List;

/**
 * Settings of a deployment that the load tool starts.
 *
 * @param basePort first loopback port, see {@link PortPlan}
 * @param hostsPerService hosts taken from the hosts file for each service, in its order with zones alternating
 * @param slotsFactor factor on the slots of each host
 * @param connectionsFactor factor on the connections of each host
 * @param rateFactor factor on rate and burst of each organisation
 * @param faults whether nodes accept fault commands on their operators' port
 */
record DeploymentSettings(
        Path hosts,
        Path inventory,
        int basePort,
        int hostsPerService,
        double slotsFactor,
        double connectionsFactor,
        double rateFactor,
        boolean faults,
        List<UpstreamSettings> upstreams) {
    static final int DEFAULT_BASE_PORT = 21_000;

    DeploymentSettings {
        upstreams = List.copyOf(upstreams);
    }

    UpstreamSettings upstream(String service) {
        return upstreams.stream()
                .filter(u -> u.service().equals(service))
                .findFirst()
                .orElseGet(() -> new UpstreamSettings(service, 10, 0.3, 0, List.of()));
    }
}
