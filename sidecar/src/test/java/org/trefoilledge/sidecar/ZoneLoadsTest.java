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
import org.trefoilledge.core.admission.NodeLoad;

/** Load pattern: nodes and zones that fall silent while requests for them go on to come. */
class ZoneLoadsTest {
    private static final ServiceId ORDERS = new ServiceId("orders");
    private static final ZoneId HERE = new ZoneId("here");
    private static final ZoneId THERE = new ZoneId("there");
    private static final HostId SELF = new HostId("self");
    private static final HostId NEAR = new HostId("near");
    private static final HostId FAR = new HostId("far");
    private static final HostId FARTHER = new HostId("farther");

    private final ZoneLoads loads = new ZoneLoads(HERE);
    private final Map<HostId, Member> members = new HashMap<>();

    ZoneLoadsTest() {
        members.put(NEAR, member(NEAR, HERE));
        members.put(FAR, member(FAR, THERE));
        members.put(FARTHER, member(FARTHER, THERE));
    }

    @Test
    void aNodeThatHasStoppedToReportIsSilent() {
        reportUntil(2_500, true);
        reportUntil(4_000, false);

        assertThat(loads.silent(members, 4_000)).containsExactly(NEAR);
    }

    @Test
    void aZoneWhoseCollectorIsNotHeardIsSilentAsAWhole() {
        reportUntil(2_500, true);
        for (long now = 2_500; now <= 4_500; now += 250) {
            loads.heard(SELF, load(), now);
            loads.heard(NEAR, load(), now);
        }

        assertThat(loads.silent(members, 4_500)).containsExactlyInAnyOrder(FAR, FARTHER);
    }

    @Test
    void aCollectorThatHasJustBegunCallsNobodySilent() {
        loads.heard(SELF, load(), 10_000);
        loads.heard(SELF, load(), 11_000);

        assertThat(loads.silent(members, 11_500)).isEmpty();
    }

    @Test
    void theSilentNodesOfAnotherZoneAreTakenFromItsCollector() {
        reportUntil(2_500, true);
        loads.heard(THERE, List.of(load()), Set.of(FARTHER), Set.of(), 2_500);

        assertThat(loads.silent(members, 2_500)).containsExactly(FARTHER);
    }

    @Test
    void aNodeWithoutAnEntryLivesIfTheCollectorOfItsZoneHearsIt() {
        loads.heard(THERE, List.of(), Set.of(), Set.of(FAR), 1_000);

        assertThat(loads.heardWithin(FAR, 6_000, 7_000)).isTrue();
        assertThat(loads.heardWithin(FARTHER, 6_000, 7_000)).isFalse();
        assertThat(loads.heardWithin(FAR, 6_000, 7_001)).isFalse();
    }

    @Test
    void aNodeToWhichNobodyReportsDoesNotCollect() {
        assertThat(loads.collecting(0)).isFalse();
        loads.heard(NEAR, load(), 0);

        assertThat(loads.collecting(1_500)).isTrue();
        assertThat(loads.collecting(1_501)).isFalse();
    }

    @Test
    void theSumsLeaveOutLoadsThatAreOld() {
        loads.heard(SELF, load(), 0);
        loads.heard(NEAR, load(), 1_000);
        assertThat(loads.ownSums(1_000).get(0).slots()).isEqualTo(20);

        assertThat(loads.ownSums(2_000).get(0).slots()).isEqualTo(10);
    }

    private void reportUntil(long end, boolean nearToo) {
        for (long now = nearToo ? 0 : 2_750; now <= end; now += 250) {
            loads.heard(SELF, load(), now);
            if (nearToo) {
                loads.heard(NEAR, load(), now);
            }
            loads.heard(THERE, List.of(load()), Set.of(), Set.of(), now);
        }
    }

    private static NodeLoad load() {
        return NodeLoad.of(ORDERS, 10, 5, 0, Map.of(), Map.of());
    }

    private static Member member(HostId host, ZoneId zone) {
        return new Member(host, zone, "127.0.0.1:1", new Incarnation(1), ORDERS, "i-1", 10, true, 0);
    }
}
