package org.trefoilledge.sidecar;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.admission.AdmissionPlan;
import org.trefoilledge.core.admission.AdmissionPlanner;
import org.trefoilledge.core.admission.NodeLoad;
import org.trefoilledge.core.routing.HostRoute;
import org.trefoilledge.core.routing.RoutingConfig;

/** The latest loads of the nodes within reach, and the plan that follows. Used on the control thread. */
final class LoadTable {
    /** Age at which a node's load no longer counts, as a multiple of the interval between reports. */
    private static final int OLD_INTERVALS = 6;

    private final AdmissionPlanner planner = new AdmissionPlanner();
    private final Map<HostId, Heard> loads = new HashMap<>();

    private record Heard(NodeLoad load, long atMillis) {}

    void heard(HostId host, NodeLoad load, long now) {
        loads.put(host, new Heard(load, now));
    }

    AdmissionPlan plan(RoutingConfig config, long intervalMillis, long now) {
        loads.values().removeIf(heard -> now - heard.atMillis() > OLD_INTERVALS * intervalMillis);
        List<NodeLoad> fresh = new ArrayList<>();
        loads.values().forEach(heard -> fresh.add(heard.load()));
        return planner.plan(
                fresh, route -> config.routeById(route).map(HostRoute::services).orElse(null));
    }
}
