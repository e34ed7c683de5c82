package org.trefoilledge.sidecar;

import static org.assertj.core.api.Assertions.assertThat;
import static org.trefoilledge.sidecar.TestFleet.ORDERS;
import static org.trefoilledge.sidecar.TestFleet.TRACKING;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Evacuates zones of a fleet of sidecars with stub upstreams and an in-memory store. */
class EvacuationTest {
    private static final long STOP_MILLIS = 600;
    private static final long EVACUATION_MILLIS = 5_000;
    /** Time in which a node that receives the evacuation from others has applied it. */
    private static final long SETTLE_MILLIS = 3_000;

    private final TestFleet fleet = new TestFleet(STOP_MILLIS).withEvacuation(EVACUATION_MILLIS);
    private final CountDownLatch releaseSlowRequests = new CountDownLatch(1);
    private TestFleet.Host north;
    private TestFleet.Host south;
    private TestFleet.Host client;

    @BeforeEach
    void startFleet() throws Exception {
        fleet.writeConfig("1 k1");
        north = fleet.startInZone("north", "north-1", TRACKING, this::answerNorth);
        south = fleet.startInZone("south", "south-1", TRACKING);
        client = fleet.startInZone("north", "north-2", ORDERS);
        for (TestFleet.Host host : new TestFleet.Host[] {north, south, client}) {
            host.announce(1, "ready");
        }
        client.awaitBody("/tracking/1", "k1", "north-1");
        north.awaitBody("/tracking/1", "k1", "north-1");
        south.awaitBody("/tracking/1", "k1", "south-1");
    }

    private void answerNorth(String head, java.net.Socket socket, java.io.OutputStream out) throws IOException {
        if (head.contains("/slow")) {
            try {
                releaseSlowRequests.await(10, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
        }
        UpstreamStub.write(out, UpstreamStub.response(TestFleet.requestId(head), "north-1"));
    }

    @AfterEach
    void stopFleet() throws IOException {
        releaseSlowRequests.countDown();
        fleet.close();
    }

    @Test
    void evacuatedZoneGetsNoRequestsUntilTheOrderIsRevoked() throws Exception {
        fleet.evacuate("north");
        Thread.sleep(SETTLE_MILLIS);
        int before = north.upstream().requestHeads().size();
        for (int i = 0; i < 20; i++) {
            assertThat(client.get("/tracking/" + i, "k1").body()).isEqualTo("south-1");
            assertThat(north.get("/tracking/" + i, "k1").body()).isEqualTo("south-1");
            assertThat(south.get("/tracking/" + i, "k1").body()).isEqualTo("south-1");
        }
        assertThat(north.upstream().requestHeads()).hasSize(before);

        fleet.revokeEvacuation("north");
        client.awaitBody("/tracking/1", "k1", "north-1");
    }

    /** Guards against twice the calls to the store. */
    @Test
    void configurationAndEvacuationsAreReadWithOneCall() {
        assertThat(fleet.store().listedPrefixes()).contains(TestFleet.OPERATOR_PREFIX);
        assertThat(fleet.store().readKeys()).doesNotContain(TestFleet.CONFIG_KEY);
    }

    /** Guards against running requests that are cut off, and against queued ones that run after the bound. */
    @Test
    void runningRequestsFinishWhileTheZoneIsEvacuated() throws Exception {
        CompletableFuture<HttpResponse<String>> slow = client.getAsync("/tracking/slow", "k1");
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(2);
        while (north.upstream().requestHeads().stream().noneMatch(head -> head.contains("/slow"))
                && System.nanoTime() < end) {
            Thread.sleep(5);
        }
        fleet.evacuate("north");
        Thread.sleep(1_000);
        releaseSlowRequests.countDown();

        assertThat(slow.get(5, TimeUnit.SECONDS).statusCode()).isEqualTo(200);
        assertThat(slow.get().body()).isEqualTo("north-1");
    }

    @Test
    void requestsToAServiceWithoutAnUpstreamLeftAreRefusedWithARetryTime() throws Exception {
        fleet.evacuate("north");
        Thread.sleep(SETTLE_MILLIS);
        HttpResponse<String> response = south.get("/orders/1", "k1");

        assertThat(response.statusCode()).isEqualTo(503);
        assertThat(response.headers().firstValue("Retry-After")).isPresent();
        assertThat(client.upstream().requestHeads().stream().filter(head -> head.contains("/orders/1")))
                .isEmpty();
    }

    /** Guards against a restarted sidecar that serves before it knows of the evacuation. */
    @Test
    void restartedNodeAcceptsNoCallUntilItKnowsTheState() throws Exception {
        fleet.evacuate("north");
        Thread.sleep(SETTLE_MILLIS);
        int before = north.upstream().requestHeads().size();
        north.stopWithoutStore();
        north.start();
        north.announce(2, "ready");
        for (int i = 0; i < 40; i++) {
            client.get("/tracking/" + i, "k1");
            north.get("/tracking/" + i, "k1");
            Thread.sleep(20);
        }

        assertThat(north.upstream().requestHeads()).hasSize(before);
    }

    /** Guards against a state that is forgotten, or taken for revoked, because the store does not answer. */
    @Test
    void lastKnownStateStaysInForceWhileTheStoreIsDown() throws Exception {
        fleet.evacuate("north");
        Thread.sleep(SETTLE_MILLIS);
        int before = north.upstream().requestHeads().size();
        fleet.store().down(true);
        for (int i = 0; i < 20; i++) {
            client.get("/tracking/" + i, "k1");
            Thread.sleep(100);
        }
        fleet.store().down(false);

        assertThat(north.upstream().requestHeads()).hasSize(before);
    }

    /** Guards against a first order that overtakes its revocation on the way through the fleet. */
    @Test
    void orderThatIsRevokedAtOnceLeavesTheZoneInService() throws Exception {
        for (int i = 0; i < 3; i++) {
            fleet.evacuate("north");
            Thread.sleep(100);
            fleet.revokeEvacuation("north");
            Thread.sleep(100);
        }
        Thread.sleep(SETTLE_MILLIS);

        for (int i = 0; i < 20; i++) {
            assertThat(client.get("/tracking/" + i, "k1").body()).isEqualTo("north-1");
        }
    }

    @Test
    void malformedZoneNameChangesNothing() throws Exception {
        fleet.evacuate("No Zone");
        fleet.evacuate("unknown");
        Thread.sleep(SETTLE_MILLIS);

        assertThat(client.get("/tracking/1", "k1").body()).isEqualTo("north-1");
    }
}
