package org.trefoilledge.sidecar;

import static org.assertj.core.api.Assertions.assertThat;
import static org.trefoilledge.sidecar.TestFleet.TRACKING;

import java.io.IOException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Restarts the sidecar beside an upstream that has announced its end. */
class LeavingUpstreamTest {
    private static final long STOP_MILLIS = 600;
    private static final long FIRST_RUN = 1_000;
    private static final long NEXT_RUN = 2_000;
    /** Time in which a sidecar has read the store and its status is published. */
    private static final long SETTLE_MILLIS = 800;
    /** Time in which a node notices that its lease has ended, and writes again what was under it. */
    private static final long LEASE_RENEWAL_MILLIS = 3_000;
    /** More than the lifetime of a node's entry in the store. */
    private static final long NODE_LEASE_MILLIS = 8_000;

    private final TestFleet fleet = new TestFleet(STOP_MILLIS);
    private TestFleet.Host host;

    @BeforeEach
    void startHost() throws Exception {
        fleet.writeConfig("1 k1");
        host = fleet.start("host-1", TRACKING);
        assertThat(host.announce("i-1", 1, "ready", FIRST_RUN)).isEqualTo(200);
        host.awaitStatus("/tracking/1", "k1", 200);
    }

    @AfterEach
    void stopHost() throws IOException {
        fleet.close();
    }

    /** Guards against an entry of the second run of a sidecar that forgets what the first run has acknowledged. */
    @Test
    void upstreamThatHasLeftStaysOutOfUseAfterTwoKills() throws Exception {
        assertThat(host.deregister("i-1")).isEqualTo(200);
        for (int i = 0; i < 2; i++) {
            Thread.sleep(SETTLE_MILLIS);
            host.stopWithoutStore();
            host.start();
        }

        assertLateReportDoesNotServe();
        assertNextRunServes("i-1");
    }

    /** Guards against a planned stop that removes what the sidecar has acknowledged. */
    @Test
    void upstreamThatHasLeftStaysOutOfUseAfterAPlannedRestart() throws Exception {
        assertThat(host.deregister("i-1")).isEqualTo(200);
        Thread.sleep(SETTLE_MILLIS);
        host.stop();
        host.start();

        assertLateReportDoesNotServe();
        assertNextRunServes("i-1");
    }

    @Test
    void upstreamThatHasLeftStaysOutOfUseAfterASeriesOfStopsAndKills() throws Exception {
        assertThat(host.announce("i-1", 2, "draining", FIRST_RUN)).isEqualTo(200);
        host.stopWithoutStore();
        host.start();
        host.stop();
        host.start();
        host.stopWithoutStore();
        host.start();

        assertLateReportDoesNotServe();
        assertNextRunServes("i-2");
    }

    /** Guards against a lifetime of the record that ends with the entry of the node. */
    @Test
    void upstreamThatHasLeftStaysOutOfUseAfterTheLeaseOfItsNodeHasExpired() throws Exception {
        assertThat(host.deregister("i-1")).isEqualTo(200);
        Thread.sleep(SETTLE_MILLIS);
        host.stopWithoutStore();
        Thread.sleep(NODE_LEASE_MILLIS);
        host.start();

        assertLateReportDoesNotServe();
    }

    /** Guards against a record that is lost while the node that could write it again runs on. */
    @Test
    void upstreamThatHasLeftStaysOutOfUseAfterTheStoreHasEndedAllLeases() throws Exception {
        assertThat(host.deregister("i-1")).isEqualTo(200);
        fleet.store().endAllLeases();
        Thread.sleep(LEASE_RENEWAL_MILLIS);
        host.stop();
        host.start();

        assertLateReportDoesNotServe();
    }

    /** Guards against a restore of the store from a copy that does not have the acknowledged end of an upstream. */
    @Test
    void upstreamThatHasLeftStaysOutOfUseAfterARestoreAndTheExpiryOfTheLeases() throws Exception {
        fleet.store().epoch(1);
        Thread.sleep(LEASE_RENEWAL_MILLIS);
        MemoryStore.Copy copy = fleet.store().copy();
        assertThat(host.deregister("i-1")).isEqualTo(200);
        fleet.store().restore(copy);
        Thread.sleep(LEASE_RENEWAL_MILLIS);
        host.stopWithoutStore();
        Thread.sleep(NODE_LEASE_MILLIS);
        host.start();

        assertLateReportDoesNotServe();
    }

    /** Guards against a node that uses an upstream before it knows what an earlier run has acknowledged. */
    @Test
    void upstreamIsNotUsedBeforeTheStoreHasAnswered() throws Exception {
        assertThat(host.deregister("i-1")).isEqualTo(200);
        Thread.sleep(SETTLE_MILLIS);
        host.stop();
        fleet.store().down(true);
        host.start();
        assertThat(host.announce("i-1", 2, "ready", FIRST_RUN)).isEqualTo(200);
        Thread.sleep(3 * SETTLE_MILLIS);
        fleet.store().down(false);
        int arrivedBefore = host.upstream().requestHeads().size();
        for (int i = 0; i < 20; i++) {
            Thread.sleep(50);
            host.get("/tracking/1", "k1");
        }

        assertThat(host.upstream().requestHeads()).hasSize(arrivedBefore);
        assertNextRunServes("i-1");
    }

    /** Guards against an acknowledgement that a kill in the next moment makes untrue. */
    @Test
    void endOfAnUpstreamIsAcknowledgedOnlyOnceTheStoreHasIt() throws Exception {
        fleet.store().down(true);
        assertThat(host.deregister("i-1")).isEqualTo(503);
        assertThat(host.announce("i-1", 2, "draining", FIRST_RUN)).isEqualTo(503);
        assertThat(host.get("/tracking/1", "k1").statusCode()).isEqualTo(503);
        fleet.store().down(false);
        Thread.sleep(SETTLE_MILLIS);
        assertThat(host.deregister("i-1")).isEqualTo(200);
        host.stopWithoutStore();
        host.start();

        assertLateReportDoesNotServe();
    }

    private void assertLateReportDoesNotServe() throws Exception {
        Thread.sleep(SETTLE_MILLIS);
        assertThat(host.announce("i-1", 2, "ready", FIRST_RUN)).isEqualTo(200);
        Thread.sleep(SETTLE_MILLIS);
        assertThat(host.get("/tracking/1", "k1").statusCode()).isEqualTo(503);
    }

    private void assertNextRunServes(String id) throws Exception {
        assertThat(host.announce(id, 1, "ready", NEXT_RUN)).isEqualTo(200);
        host.awaitStatus("/tracking/1", "k1", 200);
    }
}
