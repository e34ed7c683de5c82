package org.trefoilledge.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.Incarnation;
import org.trefoilledge.core.ServiceId;
import org.trefoilledge.core.ZoneId;
import org.trefoilledge.core.admission.AdmissionPlanner;
import org.trefoilledge.core.admission.NodeLoad;

/** Detection of nodes and zones that stop reporting. */
class ZoneLoadsTest {
    private static final ServiceId ORDERS = new ServiceId("orders");
    private static final ZoneId OWN_ZONE = new ZoneId("here");
    private static final ZoneId OTHER_ZONE = new ZoneId("there");
    private static final HostId SELF = new HostId("self");
    private static final HostId OWN_ZONE_HOST = new HostId("near");
    private static final HostId OTHER_ZONE_HOST = new HostId("far");
    private static final HostId OTHER_ZONE_HOST_2 = new HostId("farther");

    private final ZoneLoads loads = new ZoneLoads(OWN_ZONE, new AdmissionPlanner());
    private final Map<HostId, Member> members = new HashMap<>();

    ZoneLoadsTest() {
        members.put(OWN_ZONE_HOST, member(OWN_ZONE_HOST, OWN_ZONE));
        members.put(OTHER_ZONE_HOST, member(OTHER_ZONE_HOST, OTHER_ZONE));
        members.put(OTHER_ZONE_HOST_2, member(OTHER_ZONE_HOST_2, OTHER_ZONE));
    }

    @Test
    void nodeThatStopsReportingIsSilent() {
        reportUntil(2_500, true);
        reportUntil(4_000, false);

        assertThat(loads.silentNodes(members, 4_000)).containsExactly(OWN_ZONE_HOST);
    }

    @Test
    void allNodesOfAZoneWithoutRecentReportAreSilent() {
        reportUntil(2_500, true);
        for (long now = 2_500; now <= 4_500; now += 250) {
            loads.recordReport(SELF, load(), now);
            loads.recordReport(OWN_ZONE_HOST, load(), now);
        }

        assertThat(loads.silentNodes(members, 4_500)).containsExactlyInAnyOrder(OTHER_ZONE_HOST, OTHER_ZONE_HOST_2);
    }

    @Test
    void noNodeIsSilentDuringTheWarmUpOfACollector() {
        loads.recordReport(SELF, load(), 10_000);
        loads.recordReport(SELF, load(), 11_000);

        assertThat(loads.silentNodes(members, 11_500)).isEmpty();
    }

    @Test
    void silentNodesOfAnotherZoneAreTakenFromItsReport() {
        reportUntil(2_500, true);
        loads.recordReport(OTHER_ZONE, List.of(load()), Set.of(OTHER_ZONE_HOST_2), Set.of(), 2_500);

        assertThat(loads.silentNodes(members, 2_500)).containsExactly(OTHER_ZONE_HOST_2);
    }

    @Test
    void unlistedNodeCountsAsReportedWhenItsZoneReportsIt() {
        loads.recordReport(OTHER_ZONE, List.of(), Set.of(), Set.of(OTHER_ZONE_HOST), 1_000);

        assertThat(loads.reportedWithin(OTHER_ZONE_HOST, 6_000, 7_000)).isTrue();
        assertThat(loads.reportedWithin(OTHER_ZONE_HOST_2, 6_000, 7_000)).isFalse();
        assertThat(loads.reportedWithin(OTHER_ZONE_HOST, 6_000, 7_001)).isFalse();
    }

    @Test
    void nodeWithoutRecentReportsDoesNotCollect() {
        assertThat(loads.hasRecentReports(0)).isFalse();
        loads.recordReport(OWN_ZONE_HOST, load(), 0);

        assertThat(loads.hasRecentReports(1_500)).isTrue();
        assertThat(loads.hasRecentReports(1_501)).isFalse();
    }

    @Test
    void sumsLeaveOutExpiredLoads() {
        loads.recordReport(SELF, load(), 0);
        loads.recordReport(OWN_ZONE_HOST, load(), 1_000);
        assertThat(loads.ownZoneSums(1_000).get(0).slots()).isEqualTo(20);

        assertThat(loads.ownZoneSums(2_000).get(0).slots()).isEqualTo(10);
    }

    private void reportUntil(long end, boolean ownZoneHostReports) {
        for (long now = ownZoneHostReports ? 0 : 2_750; now <= end; now += 250) {
            loads.recordReport(SELF, load(), now);
            if (ownZoneHostReports) {
                loads.recordReport(OWN_ZONE_HOST, load(), now);
            }
            loads.recordReport(OTHER_ZONE, List.of(load()), Set.of(), Set.of(), now);
        }
    }

    private static NodeLoad load() {
        return NodeLoad.of(ORDERS, 10, 5, 0, Map.of(), Map.of());
    }

    private static Member member(HostId host, ZoneId zone) {
        return new Member(host, zone, "127.0.0.1:1", new Incarnation(1), ORDERS, "i-1", 10, true);
    }
}
