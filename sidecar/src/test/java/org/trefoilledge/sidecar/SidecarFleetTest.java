package org.trefoilledge.sidecar;

import static org.assertj.core.api.Assertions.assertThat;
import static org.trefoilledge.sidecar.TestFleet.ORDERS;
import static org.trefoilledge.sidecar.TestFleet.REVOCATION_MILLIS;
import static org.trefoilledge.sidecar.TestFleet.TRACKING;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Runs two sidecars with stub upstreams on the loopback interface and an in-memory store. */
class SidecarFleetTest {
    private static final long STOP_MILLIS = 1_000;

    private final TestFleet fleet = new TestFleet(STOP_MILLIS);
    private final List<TestFleet.Host> hosts = new ArrayList<>();

    @BeforeEach
    void startFleet() throws Exception {
        fleet.writeConfig("1 k1");
        hosts.add(fleet.start("host-1", ORDERS));
        hosts.add(fleet.start("host-2", TRACKING));
        for (TestFleet.Host host : hosts) {
            host.announce(1, "ready");
        }
        hosts.get(0).awaitStatus("/orders/1", "k1", 200);
        hosts.get(0).awaitStatus("/tracking/1", "k1", 200);
    }

    @AfterEach
    void stopFleet() throws IOException {
        fleet.close();
    }

    /** Guards against other calls to the store, or orders that are followed, where operators evacuate no zones. */
    @Test
    void evacuationsAreNotReadWithoutABound() throws Exception {
        fleet.evacuate("a");
        Thread.sleep(3_000);

        assertThat(hosts.get(0).get("/tracking/1", "k1").body()).isEqualTo("host-2");
        assertThat(fleet.store().readKeys()).contains(TestFleet.CONFIG_KEY);
        assertThat(fleet.store().listedPrefixes()).containsExactly(Directory.PREFIX);
    }

    @Test
    void requestIsForwardedToTheUpstreamOnAnotherHost() throws Exception {
        assertThat(hosts.get(0).get("/tracking/1", "k1").body()).isEqualTo("host-2");
        assertThat(hosts.get(1).get("/orders/1", "k1").body()).isEqualTo("host-1");
    }

    @Test
    void upstreamReceivesOrganisationAndCallingServiceButNotTheKey() throws Exception {
        hosts.get(0).get("/tracking/secret", "k1");
        String head = hosts.get(1).upstream().requestHeads().stream()
                .filter(text -> text.contains("/secret"))
                .findFirst()
                .orElseThrow();

        assertThat(head).contains("X-Organisation: bakery").contains("X-Caller: orders");
        assertThat(head).doesNotContain("k1");
    }

    @Test
    void configurationChangeAppliesOnAllNodes() throws Exception {
        fleet.writeConfig("2 k2");

        for (TestFleet.Host host : hosts) {
            host.awaitStatus("/orders/1", "k2", 200);
            assertThat(host.get("/orders/1", "k1").statusCode()).isEqualTo(401);
        }
    }

    @Test
    void keysAreRefusedWhenTheStoreIsUnreachableForTheRevocationTime() throws Exception {
        fleet.store().down(true);
        Thread.sleep(500);
        assertThat(hosts.get(0).get("/orders/1", "k1").statusCode()).isEqualTo(200);
        Thread.sleep(REVOCATION_MILLIS);
        assertThat(hosts.get(0).get("/orders/1", "k1").statusCode()).isEqualTo(503);

        fleet.store().down(false);
        hosts.get(0).awaitStatus("/orders/1", "k1", 200);
    }

    @Test
    void drainingUpstreamReceivesNoRequestsAfterItsHeartbeatIsAcknowledged() throws Exception {
        hosts.get(1).announce(2, "draining");
        int requestsBefore = hosts.get(1).upstream().requestHeads().size();
        HttpResponse<String> response = hosts.get(0).get("/tracking/1", "k1");

        assertThat(response.statusCode()).isEqualTo(503);
        assertThat(response.headers().firstValue("Retry-After")).isPresent();
        assertThat(hosts.get(1).upstream().requestHeads()).hasSize(requestsBefore);
    }

    @Test
    void unreadableDocumentsAreIgnored() throws Exception {
        fleet.writeConfig("no version at all");
        fleet.store().put(Directory.NODE_PREFIX + "broken", new byte[] {'{'});
        fleet.store().put(Directory.CLAIM_PREFIX + "shard-0-0", new byte[] {'['});
        Thread.sleep(500);
        TestFleet.Host third = fleet.start("host-3", TRACKING);
        third.announce(1, "ready");
        hosts.get(1).announce(2, "draining");
        hosts.get(0).awaitStatus("/tracking/1", "k1", 200);
        fleet.writeConfig("2 k2");

        hosts.get(0).awaitStatus("/tracking/1", "k2", 200);
        assertThat(hosts.get(0).get("/tracking/1", "k2").body()).isEqualTo("host-3");
    }

    @Test
    void restartedNodeKeepsItsUpstreamDraining() throws Exception {
        hosts.get(1).announce(2, "draining");
        Thread.sleep(300);
        TestFleet.Host restarted = hosts.get(1);
        restarted.stop();
        restarted.start();
        Thread.sleep(500);
        int requestsBefore = restarted.upstream().requestHeads().size();
        restarted.announce(1, "ready");
        HttpResponse<String> response = restarted.get("/tracking/1", "k1");

        assertThat(response.statusCode()).isEqualTo(503);
        assertThat(restarted.upstream().requestHeads()).hasSize(requestsBefore);
    }
}
