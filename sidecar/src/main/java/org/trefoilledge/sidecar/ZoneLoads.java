package org.trefoilledge.sidecar;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.ZoneId;
import org.trefoilledge.core.admission.AdmissionPlan;
import org.trefoilledge.core.admission.AdmissionPlanner;
import org.trefoilledge.core.admission.NodeLoad;
import org.trefoilledge.core.routing.HostRoute;
import org.trefoilledge.core.routing.RoutingConfig;

/**
 * What the collector of a zone knows of the fleet: the latest load of each node of its zone, and of the other zones a sum
 * for each service and the nodes that are silent there. Used on the control thread.
 */
final class ZoneLoads {
    /** Time after which the load of a node of the zone no longer counts; three of its reports while it is calm. */
    private static final long OLD_MILLIS = 1_500;
    /** Time after which a node of the zone counts as silent; a pause of a processor takes less. */
    private static final long SILENT_MILLIS = 1_200;
    /** Time after which the sums of another zone no longer count; four intervals between its reports. */
    private static final long OLD_ZONE_MILLIS = 1_600;
    /** A collector that has just begun has not heard everybody yet. */
    private static final long BEGIN_MILLIS = 2_000;

    private final ZoneId zone;
    private final AdmissionPlanner planner = new AdmissionPlanner();
    private final Map<HostId, Heard> nodes = new HashMap<>();
    private final Map<ZoneId, Sums> zones = new HashMap<>();
    private long begunMillis = Long.MIN_VALUE;

    private record Heard(NodeLoad load, long atMillis) {}

    private record Sums(List<NodeLoad> loads, Set<HostId> silent, Set<HostId> unlisted, long atMillis) {}

    ZoneLoads(ZoneId zone) {
        this.zone = zone;
    }

    /** Takes the load of a node of the own zone. */
    void heard(HostId host, NodeLoad load, long now) {
        if (!collecting(now)) {
            begunMillis = now;
        }
        nodes.put(host, new Heard(load, now));
    }

    /** Takes the sums of another zone. */
    void heard(ZoneId from, List<NodeLoad> loads, Set<HostId> silent, Set<HostId> unlisted, long now) {
        zones.put(from, new Sums(loads, silent, unlisted, now));
    }

    /** Returns whether nodes report to this one. */
    boolean collecting(long now) {
        return nodes.values().stream().anyMatch(heard -> now - heard.atMillis() <= OLD_MILLIS);
    }

    /** Returns whether a node has reported within the given time, here or in another zone. */
    boolean heardWithin(HostId host, long millis, long now) {
        Heard heard = nodes.get(host);
        boolean here = heard != null && now - heard.atMillis() <= millis;
        return here
                || zones.values().stream()
                        .anyMatch(sums -> now - sums.atMillis() <= millis
                                && sums.unlisted().contains(host));
    }

    /** Returns the sums of the own zone. */
    List<NodeLoad> ownSums(long now) {
        List<NodeLoad> fresh = new ArrayList<>();
        nodes.values().removeIf(heard -> now - heard.atMillis() > OLD_MILLIS && heard.load() == null);
        nodes.values().forEach(heard -> {
            if (now - heard.atMillis() <= OLD_MILLIS) {
                fresh.add(heard.load());
            }
        });
        return NodeLoad.sums(fresh);
    }

    /** Works out the plan for the fleet as far as it is within reach. */
    AdmissionPlan plan(RoutingConfig config, long now) {
        List<NodeLoad> fresh = new ArrayList<>(ownSums(now));
        zones.values().stream()
                .filter(sums -> now - sums.atMillis() <= OLD_ZONE_MILLIS)
                .forEach(sums -> fresh.addAll(sums.loads()));
        return planner.plan(
                fresh, route -> config.routeById(route).map(HostRoute::services).orElse(null));
    }

    /** Returns the nodes of the own zone that do not report. */
    Set<HostId> silentHere(Map<HostId, Member> members, long now) {
        Set<HostId> silent = new HashSet<>();
        if (begun(now)) {
            members.forEach((host, member) -> {
                if (member.zone().equals(zone) && !heardWithin(host, SILENT_MILLIS, now)) {
                    silent.add(host);
                }
            });
        }
        return silent;
    }

    /** Returns the silent nodes of all zones; those of a zone that is cut off are silent together. */
    Set<HostId> silent(Map<HostId, Member> members, long now) {
        Set<HostId> silent = silentHere(members, now);
        if (!begun(now)) {
            return silent;
        }
        members.forEach((host, member) -> {
            Sums sums = zones.get(member.zone());
            boolean cutOff = sums == null || now - sums.atMillis() > OLD_ZONE_MILLIS;
            if (!member.zone().equals(zone) && (cutOff || sums.silent().contains(host))) {
                silent.add(host);
            }
        });
        return silent;
    }

    /** Forgets nodes that are no longer members. */
    void keep(Set<HostId> members) {
        nodes.keySet().retainAll(members);
    }

    private boolean begun(long now) {
        return collecting(now) && now - begunMillis >= BEGIN_MILLIS;
    }
}
