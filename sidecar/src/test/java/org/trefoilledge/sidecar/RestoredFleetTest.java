package org.trefoilledge.sidecar;

import static org.assertj.core.api.Assertions.assertThat;
import static org.trefoilledge.sidecar.TestFleet.ORDERS;
import static org.trefoilledge.sidecar.TestFleet.TRACKING;

import java.io.IOException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Two sidecars whose store is restored from a copy. */
class RestoredFleetTest {
    private static final long STOP_MILLIS = 600;
    /** Time in which both nodes have called the store and the state between them has settled. */
    private static final long SETTLE_MILLIS = 3_000;

    private final TestFleet fleet = new TestFleet(STOP_MILLIS);
    private TestFleet.Host first;
    private TestFleet.Host second;

    @BeforeEach
    void startHosts() throws Exception {
        fleet.store().epoch(1);
        fleet.writeConfig("1 k1");
        first = fleet.start("host-1", ORDERS);
        second = fleet.start("host-2", TRACKING);
        first.announce(1, "ready");
        second.announce(1, "ready");
        first.awaitStatus("/tracking/1", "k1", 200);
        second.awaitStatus("/orders/1", "k1", 200);
    }

    @AfterEach
    void tearDown() throws IOException {
        fleet.close();
    }

    /** Guards against a node that starts with the older configuration of a restored store: k1 is withdrawn. */
    @Test
    void withdrawnKeyStaysWithdrawnOnANodeThatStartsAfterTheRestore() throws Exception {
        MemoryStore.Copy copy = fleet.store().copy();
        fleet.writeConfig("2 k2");
        first.awaitStatus("/orders/1", "k2", 200);
        second.awaitStatus("/orders/1", "k2", 200);
        second.stop();
        fleet.store().restore(copy);
        second.start();
        long end = System.nanoTime() + 3_000_000_000L;
        while (System.nanoTime() < end) {
            assertThat(second.get("/orders/1", "k1").statusCode()).isNotEqualTo(200);
            assertThat(first.get("/orders/1", "k1").statusCode()).isNotEqualTo(200);
            Thread.sleep(20);
        }
        fleet.writeConfig("2 k2");
        second.awaitStatus("/orders/1", "k2", 200);

        assertThat(second.get("/orders/1", "k1").statusCode()).isEqualTo(401);
    }

    /** Guards against a watch from a revision that the restored store issues again, which hides what came before. */
    @Test
    void changesAfterTheRestoreReachTheNodesAlthoughTheirRevisionsWereUsedBefore() throws Exception {
        MemoryStore.Copy copy = fleet.store().copy();
        for (int i = 0; i < 200; i++) {
            fleet.store().put("else/" + i, new byte[0]);
        }
        Thread.sleep(1_000);
        fleet.store().restore(copy);
        fleet.writeConfig("2 k2");
        first.awaitStatus("/orders/1", "k2", 200);
        second.awaitStatus("/orders/1", "k2", 200);
        TestFleet.Host third = fleet.start("host-3", TRACKING);
        third.announce(1, "ready");
        second.announce(2, "draining");

        first.awaitStatus("/tracking/1", "k2", 200);
        assertThat(first.get("/tracking/1", "k2").body()).isEqualTo("host-3");
    }

    /** Guards against nodes that vanish from the directory, or requests that fail, because a copy does not list them. */
    @Test
    void requestsAreServedThroughTwoRestoresInARow() throws Exception {
        MemoryStore.Copy empty = new MemoryStore().copy();
        for (int i = 0; i < 2; i++) {
            fleet.store().restore(empty);
            fleet.writeConfig("1 k1");
            long end = System.nanoTime() + SETTLE_MILLIS * 500_000;
            while (System.nanoTime() < end) {
                assertThat(first.get("/tracking/1", "k1").statusCode()).isEqualTo(200);
                Thread.sleep(20);
            }
        }
        Thread.sleep(SETTLE_MILLIS);

        assertThat(fleet.store().value(Directory.NODE_PREFIX + "host-1")).isPresent();
        assertThat(fleet.store().value(Directory.NODE_PREFIX + "host-2")).isPresent();
        assertThat(first.get("/tracking/1", "k1").statusCode()).isEqualTo(200);
    }
}
