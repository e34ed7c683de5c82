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
 * The load of the fleet, as the collector of a zone has received it: the latest load of each node of its zone, and for
 * each other zone a sum for each service and the silent nodes. Used on the control thread.
 */
final class ZoneLoads {
    /** Time after which the load of a node of this zone expires; three report intervals without pressure. */
    private static final long LOAD_EXPIRY_MILLIS = 1_500;
    /** Time without a report after which a node of this zone is silent; longer than a pause of a processor. */
    private static final long SILENCE_TIMEOUT_MILLIS = 1_200;
    /** Time after which the sums of another zone expire; four intervals between its reports. */
    private static final long ZONE_EXPIRY_MILLIS = 1_600;
    /** Time for which a new collector, which has not received all reports yet, treats no node as silent. */
    private static final long WARM_UP_MILLIS = 2_000;

    private final ZoneId zone;
    private final AdmissionPlanner planner;
    private final Map<HostId, ReceivedLoad> loadsByHost = new HashMap<>();
    private final Map<ZoneId, ZoneSums> sumsByZone = new HashMap<>();
    private long collectingSinceMillis = Long.MIN_VALUE;

    private record ReceivedLoad(NodeLoad load, long receivedMillis) {}

    private record ZoneSums(List<NodeLoad> loads, Set<HostId> silent, Set<HostId> unlisted, long receivedMillis) {}

    ZoneLoads(ZoneId zone, AdmissionPlanner planner) {
        this.zone = zone;
        this.planner = planner;
    }

    /** Records the load of a node of this zone. */
    void recordReport(HostId host, NodeLoad load, long now) {
        if (!hasRecentReports(now)) {
            collectingSinceMillis = now;
        }
        loadsByHost.put(host, new ReceivedLoad(load, now));
    }

    /** Records the sums of another zone, its silent nodes, and its nodes that report but have no entry in the store. */
    void recordReport(ZoneId from, List<NodeLoad> loads, Set<HostId> silent, Set<HostId> unlisted, long now) {
        sumsByZone.put(from, new ZoneSums(loads, silent, unlisted, now));
    }

    /** Returns whether nodes report to this one. */
    boolean hasRecentReports(long now) {
        return loadsByHost.values().stream()
                .anyMatch(received -> now - received.receivedMillis() <= LOAD_EXPIRY_MILLIS);
    }

    /** Returns whether a node has reported here, or as an unlisted node in another zone, within the given time. */
    boolean reportedWithin(HostId host, long millis, long now) {
        ReceivedLoad received = loadsByHost.get(host);
        boolean here = received != null && now - received.receivedMillis() <= millis;
        return here
                || sumsByZone.values().stream()
                        .anyMatch(sums -> now - sums.receivedMillis() <= millis
                                && sums.unlisted().contains(host));
    }

    /** Returns the sums of this zone, without expired loads. */
    List<NodeLoad> ownZoneSums(long now) {
        List<NodeLoad> fresh = new ArrayList<>();
        loadsByHost
                .values()
                .removeIf(received -> now - received.receivedMillis() > LOAD_EXPIRY_MILLIS && received.load() == null);
        loadsByHost.values().forEach(received -> {
            if (now - received.receivedMillis() <= LOAD_EXPIRY_MILLIS) {
                fresh.add(received.load());
            }
        });
        return NodeLoad.sumByService(fresh);
    }

    /** Computes the admission plan from the unexpired loads of all zones. */
    AdmissionPlan plan(RoutingConfig config, long now) {
        List<NodeLoad> fresh = new ArrayList<>(ownZoneSums(now));
        sumsByZone.values().stream()
                .filter(sums -> now - sums.receivedMillis() <= ZONE_EXPIRY_MILLIS)
                .forEach(sums -> fresh.addAll(sums.loads()));
        return planner.plan(
                fresh,
                route -> config.routeById(route).map(HostRoute::trafficSplit).orElse(null),
                now);
    }

    /** Returns the members of this zone that do not report; empty while this collector warms up. */
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

    /** Returns the silent members of all zones; all members of a zone without a recent report are silent. */
    Set<HostId> silentNodes(Map<HostId, Member> members, long now) {
        Set<HostId> silent = silentInOwnZone(members, now);
        if (!isWarmedUp(now)) {
            return silent;
        }
        members.forEach((host, member) -> {
            ZoneSums sums = sumsByZone.get(member.zone());
            boolean expired = sums == null || now - sums.receivedMillis() > ZONE_EXPIRY_MILLIS;
            if (!member.zone().equals(zone) && (expired || sums.silent().contains(host))) {
                silent.add(host);
            }
        });
        return silent;
    }

    /** Drops the loads of nodes that are no longer members. */
    void retainNodes(Set<HostId> members) {
        loadsByHost.keySet().retainAll(members);
    }

    /** Returns whether this node has collected long enough to tell silent nodes. */
    private boolean isWarmedUp(long now) {
        return hasRecentReports(now) && now - collectingSinceMillis >= WARM_UP_MILLIS;
    }
}
