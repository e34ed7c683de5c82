package org.trefoilledge.sidecar;

import static org.assertj.core.api.Assertions.assertThat;
import static org.trefoilledge.sidecar.TestFleet.ORDERS;
import static org.trefoilledge.sidecar.TestFleet.TRACKING;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Sends requests to a service one of whose upstreams is cold, through sidecars on the loopback interface. */
class ColdUpstreamFleetTest {
    private static final long STOP_MILLIS = 600;
    private static final double PER_SECOND = 4;
    private static final long RUN = 1;
    private static final long NEXT_RUN = 2;
    private static final long COLD_MILLIS = 60_000;
    private static final long EVACUATION_MILLIS = 5_000;
    /** Time after which an admission plan follows from reports without the reduced slots. */
    private static final long PLAN_MILLIS = 1_500;

    private final TestFleet fleet =
            new TestFleet(STOP_MILLIS).withColdRequests(1.5, 8).withEvacuation(EVACUATION_MILLIS);
    private TestFleet.Host cold;
    private TestFleet.Host warm;
    private TestFleet.Host client;

    @BeforeEach
    void startFleet() throws Exception {
        fleet.writeConfig("1 k1 " + PER_SECOND);
        cold = fleet.start("cold-1", TRACKING);
        warm = fleet.start("warm-1", TRACKING);
        client = fleet.start("client-1", ORDERS);
        for (TestFleet.Host host : new TestFleet.Host[] {cold, warm, client}) {
            host.announce(1, "ready");
        }
        client.awaitBody("/tracking/1", "k1", "cold-1");
        client.awaitBody("/tracking/1", "k1", "warm-1");
    }

    @AfterEach
    void stopFleet() throws IOException {
        fleet.close();
    }

    /** Guards against requests that fail because one of several upstreams is cold. */
    @Test
    void otherUpstreamsServeWhatAColdOneMayNotGet() throws Exception {
        assertThat(cold.announce("i-1", 1, "ready", NEXT_RUN, COLD_MILLIS)).isEqualTo(200);
        int before = cold.upstream().requestHeads().size();
        long start = System.nanoTime();
        while (System.nanoTime() - start < TimeUnit.SECONDS.toNanos(3)) {
            assertThat(client.get("/tracking/1", "k1").statusCode()).isEqualTo(200);
        }
        double seconds = (double) (System.nanoTime() - start) / TimeUnit.SECONDS.toNanos(1);

        assertThat((double) cold.upstream().requestHeads().size() - before).isBetween(1.0, PER_SECOND * (seconds + 1));
    }

    @Test
    void entryTellsThatTheUpstreamIsColdUntilItIsWarm() throws Exception {
        assertThat(entry()).doesNotContain("\"cold\"");
        cold.announce("i-1", 1, "ready", NEXT_RUN, COLD_MILLIS);
        awaitColdInEntry(true);
        cold.announce("i-1", 2, "ready", NEXT_RUN, 0);

        awaitColdInEntry(false);
    }

    @Test
    void requestIsRefusedWithARetryTimeWhenAllUpstreamsAreCold() throws Exception {
        cold.announce("i-1", 1, "ready", NEXT_RUN, COLD_MILLIS);
        warm.announce("i-1", 1, "ready", NEXT_RUN, COLD_MILLIS);
        HttpResponse<String> refused = null;
        int served = 0;
        for (int i = 0; i < 40; i++) {
            HttpResponse<String> response = client.get("/tracking/" + i, "k1");
            served += response.statusCode() == 200 ? 1 : 0;
            refused = response.statusCode() == 503 ? response : refused;
            Thread.sleep(50);
        }

        assertThat(served).isPositive();
        assertThat(refused).isNotNull();
        assertThat(Double.parseDouble(
                        refused.headers().firstValue("Retry-After").orElseThrow()))
                .isBetween(0.001, 1.0);
    }

    /** Guards against full traffic to upstreams that became cold while their zone got no requests. */
    @Test
    void upstreamsAreLimitedAfterARevokedEvacuationUntilTheyAnnounceThatTheyAreWarm() throws Exception {
        fleet.evacuate("a");
        client.awaitStatus("/tracking/1", "k1", 503);
        int before = received();
        fleet.revokeEvacuation("a");
        client.awaitStatus("/tracking/1", "k1", 200);
        // Longer than the second gate takes to open, and than an announcement can be under way.
        double seconds = 3;
        long end = System.nanoTime() + (long) (seconds * TimeUnit.SECONDS.toNanos(1));
        while (System.nanoTime() < end) {
            client.get("/tracking/1", "k1");
        }
        assertThat((double) received() - before).isBetween(1.0, 2 * PER_SECOND * (seconds + 1));

        cold.announce("i-1", 2, "ready", RUN, 0);
        warm.announce("i-1", 2, "ready", RUN, 0);
        Thread.sleep(PLAN_MILLIS);
        for (int i = 0; i < 30; i++) {
            assertThat(client.get("/tracking/1", "k1").statusCode()).isEqualTo(200);
        }
    }

    private int received() {
        return cold.upstream().requestHeads().size()
                + warm.upstream().requestHeads().size();
    }

    /** Guards against a late report of the earlier run that ends the limit. */
    @Test
    void lateReportOfTheEarlierRunDoesNotEndTheLimit() throws Exception {
        cold.announce("i-1", 1, "ready", NEXT_RUN, COLD_MILLIS);
        awaitColdInEntry(true);
        cold.announce("i-1", 50, "ready", RUN, 0);
        Thread.sleep(600);

        assertThat(entry()).contains("\"cold\":true");
    }

    private String entry() {
        return fleet.store().text(Directory.NODE_PREFIX + "cold-1");
    }

    private void awaitColdInEntry(boolean expected) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
        while (entry().contains("\"cold\":true") != expected && System.nanoTime() < end) {
            Thread.sleep(10);
        }
        assertThat(entry().contains("\"cold\":true")).isEqualTo(expected);
    }
}
