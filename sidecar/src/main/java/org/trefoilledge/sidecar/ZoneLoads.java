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
    private static final long LOAD_EXPIRY_MILLIS = 1_500;
    /** Time after which a node of the zone counts as silent; a pause of a processor takes less. */
    private static final long SILENCE_TIMEOUT_MILLIS = 1_200;
    /** Time after which the sums of another zone no longer count; four intervals between its reports. */
    private static final long ZONE_EXPIRY_MILLIS = 1_600;
    /** A collector that has just begun has not heard everybody yet. */
    private static final long WARM_UP_MILLIS = 2_000;

    private final ZoneId zone;
    private final AdmissionPlanner planner = new AdmissionPlanner();
    private final Map<HostId, ReceivedLoad> loadsByHost = new HashMap<>();
    private final Map<ZoneId, ZoneSums> sumsByZone = new HashMap<>();
    private long collectingSinceMillis = Long.MIN_VALUE;

    private record ReceivedLoad(NodeLoad load, long receivedMillis) {}

    private record ZoneSums(List<NodeLoad> loads, Set<HostId> silent, Set<HostId> unlisted, long receivedMillis) {}

    ZoneLoads(ZoneId zone) {
        this.zone = zone;
    }

    /** Takes the load of a node of the own zone. */
    void recordReport(HostId host, NodeLoad load, long now) {
        if (!hasRecentReports(now)) {
            collectingSinceMillis = now;
        }
        loadsByHost.put(host, new ReceivedLoad(load, now));
    }

    /** Takes the sums of another zone. */
    void recordReport(ZoneId from, List<NodeLoad> loads, Set<HostId> silent, Set<HostId> unlisted, long now) {
        sumsByZone.put(from, new ZoneSums(loads, silent, unlisted, now));
    }

    /** Returns whether nodes report to this one. */
    boolean hasRecentReports(long now) {
        return loadsByHost.values().stream().anyMatch(heard -> now - heard.receivedMillis() <= LOAD_EXPIRY_MILLIS);
    }

    /** Returns whether a node has reported within the given time, here or in another zone. */
    boolean reportedWithin(HostId host, long millis, long now) {
        ReceivedLoad heard = loadsByHost.get(host);
        boolean here = heard != null && now - heard.receivedMillis() <= millis;
        return here
                || sumsByZone.values().stream()
                        .anyMatch(sums -> now - sums.receivedMillis() <= millis
                                && sums.unlisted().contains(host));
    }

    /** Returns the sums of the own zone. */
    List<NodeLoad> ownZoneSums(long now) {
        List<NodeLoad> fresh = new ArrayList<>();
        loadsByHost
                .values()
                .removeIf(heard -> now - heard.receivedMillis() > LOAD_EXPIRY_MILLIS && heard.load() == null);
        loadsByHost.values().forEach(heard -> {
            if (now - heard.receivedMillis() <= LOAD_EXPIRY_MILLIS) {
                fresh.add(heard.load());
            }
        });
        return NodeLoad.sums(fresh);
    }

    /** Works out the plan for the fleet as far as it is within reach. */
    AdmissionPlan plan(RoutingConfig config, long now) {
        List<NodeLoad> fresh = new ArrayList<>(ownZoneSums(now));
        sumsByZone.values().stream()
                .filter(sums -> now - sums.receivedMillis() <= ZONE_EXPIRY_MILLIS)
                .forEach(sums -> fresh.addAll(sums.loads()));
        return planner.plan(
                fresh, route -> config.routeById(route).map(HostRoute::services).orElse(null));
    }

    /** Returns the nodes of the own zone that do not report. */
    Set<HostId> silentInOwnZone(Map<HostId, Member> members, long now) {
        Set<HostId> silent = new HashSet<>();
        if (isWarmedUp(now)) {
            members.forEach((host, member) -> {
                if (member.zone().equals(zone) && !reportedWithin(host, SILENCE_TIMEOUT_MILLIS, now)) {
                    silent.add(host);
                }
            });
        }
        return silent;
    }

    /** Returns the silent nodes of all zones; those of a zone that is cut off are silent together. */
    Set<HostId> silentNodes(Map<HostId, Member> members, long now) {
        Set<HostId> silent = silentInOwnZone(members, now);
        if (!isWarmedUp(now)) {
            return silent;
        }
        members.forEach((host, member) -> {
            ZoneSums sums = sumsByZone.get(member.zone());
            boolean cutOff = sums == null || now - sums.receivedMillis() > ZONE_EXPIRY_MILLIS;
            if (!member.zone().equals(zone) && (cutOff || sums.silent().contains(host))) {
                silent.add(host);
            }
        });
        return silent;
    }

    /** Forgets nodes that are no longer members. */
    void retainNodes(Set<HostId> members) {
        loadsByHost.keySet().retainAll(members);
    }

    private boolean isWarmedUp(long now) {
        return hasRecentReports(now) && now - collectingSinceMillis >= WARM_UP_MILLIS;
    }
}
