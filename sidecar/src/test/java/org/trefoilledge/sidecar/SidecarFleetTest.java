package org.trefoilledge.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.OrganisationId;
import org.trefoilledge.core.RouteId;
import org.trefoilledge.core.ServiceId;
import org.trefoilledge.core.ZoneId;
import org.trefoilledge.core.routing.CallerLimits;
import org.trefoilledge.core.routing.HostRoute;
import org.trefoilledge.core.routing.OrganisationPolicy;
import org.trefoilledge.core.routing.RoutingConfig;
import org.trefoilledge.core.routing.TrafficSplit;

/** Runs two sidecars with stub upstreams on the loopback interface and an in-memory store. */
class SidecarFleetTest {
    private static final ServiceId ORDERS = new ServiceId("orders");
    private static final ServiceId TRACKING = new ServiceId("tracking");
    /** A joining node must be listed before keys are refused, also on a heavily loaded machine. */
    private static final long REVOCATION_MILLIS = 5_000;

    private static final String CONFIG_KEY = "config";
    private static final int MIN_PORT = 12_000;
    private static final int FIRST_EPHEMERAL_PORT = 32_768;

    private final MemoryStore store = new MemoryStore();
    private final HttpClient client = HttpClient.newHttpClient();
    private final List<Host> hosts = new ArrayList<>();

    /** Configurations have the format "version key", announcements "id service slots sequence state". */
    private final class TestPlatform implements Platform {
        @Override
        public HeaderNames headers() {
            return TestHeaders.HEADERS;
        }

        @Override
        public KeyValueStore openStore(InetSocketAddress address, EventLoop control) {
            return store.client(control);
        }

        @Override
        public String configKey() {
            return CONFIG_KEY;
        }

        @Override
        public RoutingConfig readConfig(byte[] document) {
            List<String> parts = splitWords(document);
            OrganisationPolicy bakery = new OrganisationPolicy(
                    new OrganisationId("bakery"), Set.of(parts.get(1)), OptionalInt.empty(), 0, 0);
            return new RoutingConfig(
                    Long.parseLong(parts.get(0)),
                    CallerLimits.DEFAULT,
                    List.of(route("orders", ORDERS), route("tracking", TRACKING)),
                    List.of(bakery));
        }

        @Override
        public Announcement readAnnouncement(String method, String path, byte[] body) {
            List<String> parts = splitWords(body);
            return new Announcement.Heartbeat(
                    parts.get(0),
                    new ServiceId(parts.get(1)),
                    Integer.parseInt(parts.get(2)),
                    parts.get(4).equals("draining"),
                    Long.parseLong(parts.get(3)),
                    1);
        }
    }

    private final class Host implements AutoCloseable {
        private final UpstreamStub upstream;
        private final Sidecar sidecar;
        private final int callerPort;
        private final int announcementPort;
        private final ServiceId service;

        Host(String name, ServiceId service) throws IOException {
            this.service = service;
            upstream = new UpstreamStub((head, socket, out) -> {
                String id = head.replaceAll("(?s).*X-Request: ([^\n]*)\n.*", "$1");
                UpstreamStub.write(out, UpstreamStub.response(id, name));
            });
            callerPort = freePort();
            announcementPort = freePort();
            sidecar = Sidecar.start(
                    new SidecarSettings(
                            new HostId(name),
                            new ZoneId("a"),
                            List.of(new ZoneId("a")),
                            service,
                            upstream.address(),
                            loopback(callerPort),
                            loopback(freePort()),
                            loopback(announcementPort),
                            loopback(freePort()),
                            loopback(freePort()),
                            loopback(1),
                            false,
                            "text",
                            new SidecarSettings.Bounds(1_000, REVOCATION_MILLIS, 60_000, 0.2, 48, 0.1, 20, 5_000)),
                    new TestPlatform());
        }

        void announce(long sequence, String state) throws Exception {
            String body = "i-1 " + service + " 10 " + sequence + " " + state;
            HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + announcementPort + "/x"))
                    .PUT(HttpRequest.BodyPublishers.ofString(body))
                    .build();
            assertThat(client.send(request, HttpResponse.BodyHandlers.discarding())
                            .statusCode())
                    .isEqualTo(200);
        }

        HttpResponse<String> get(String path, String key) throws Exception {
            HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + callerPort + path))
                    .version(HttpClient.Version.HTTP_1_1)
                    .timeout(Duration.ofSeconds(5))
                    .header(TestHeaders.HEADERS.requestId(), "r" + System.nanoTime())
                    .header(TestHeaders.HEADERS.key(), key)
                    .build();
            return client.send(request, HttpResponse.BodyHandlers.ofString());
        }

        @Override
        public void close() throws IOException {
            sidecar.close();
            upstream.close();
        }
    }

    @BeforeEach
    void startFleet() throws Exception {
        writeConfig("1 k1");
        hosts.add(new Host("host-1", ORDERS));
        hosts.add(new Host("host-2", TRACKING));
        for (Host host : hosts) {
            host.announce(1, "ready");
        }
        awaitStatus(hosts.get(0), "/orders/1", "k1", 200);
        awaitStatus(hosts.get(0), "/tracking/1", "k1", 200);
    }

    @AfterEach
    void stopFleet() throws IOException {
        for (Host host : hosts) {
            host.close();
        }
    }

    @Test
    void requestIsForwardedToTheUpstreamOnAnotherHost() throws Exception {
        assertThat(hosts.get(0).get("/tracking/1", "k1").body()).isEqualTo("host-2");
        assertThat(hosts.get(1).get("/orders/1", "k1").body()).isEqualTo("host-1");
    }

    @Test
    void upstreamReceivesOrganisationAndCallingServiceButNotTheKey() throws Exception {
        hosts.get(0).get("/tracking/secret", "k1");
        String head = hosts.get(1).upstream.requestHeads().stream()
                .filter(text -> text.contains("/secret"))
                .findFirst()
                .orElseThrow();

        assertThat(head).contains("X-Organisation: bakery").contains("X-Caller: orders");
        assertThat(head).doesNotContain("k1");
    }

    @Test
    void configurationChangeAppliesOnAllNodes() throws Exception {
        writeConfig("2 k2");

        for (Host host : hosts) {
            awaitStatus(host, "/orders/1", "k2", 200);
            assertThat(host.get("/orders/1", "k1").statusCode()).isEqualTo(401);
        }
    }

    @Test
    void keysAreRefusedWhenTheStoreIsUnreachableForTheRevocationTime() throws Exception {
        store.down(true);
        Thread.sleep(500);
        assertThat(hosts.get(0).get("/orders/1", "k1").statusCode()).isEqualTo(200);
        Thread.sleep(REVOCATION_MILLIS);
        assertThat(hosts.get(0).get("/orders/1", "k1").statusCode()).isEqualTo(503);

        store.down(false);
        awaitStatus(hosts.get(0), "/orders/1", "k1", 200);
    }

    @Test
    void drainingUpstreamReceivesNoRequestsAfterItsHeartbeatIsAcknowledged() throws Exception {
        hosts.get(1).announce(2, "draining");
        int requestsBefore = hosts.get(1).upstream.requestHeads().size();
        HttpResponse<String> response = hosts.get(0).get("/tracking/1", "k1");

        assertThat(response.statusCode()).isEqualTo(503);
        assertThat(response.headers().firstValue("Retry-After")).isPresent();
        assertThat(hosts.get(1).upstream.requestHeads()).hasSize(requestsBefore);
    }

    @Test
    void unreadableDocumentsAreIgnored() throws Exception {
        writeConfig("no version at all");
        store.put(Directory.NODE_PREFIX + "broken", new byte[] {'{'});
        store.put(Directory.CLAIM_PREFIX + "shard-0-0", new byte[] {'['});
        Thread.sleep(500);
        Host third = new Host("host-3", TRACKING);
        hosts.add(third);
        third.announce(1, "ready");
        hosts.get(1).announce(2, "draining");
        awaitStatus(hosts.get(0), "/tracking/1", "k1", 200);
        writeConfig("2 k2");

        awaitStatus(hosts.get(0), "/tracking/1", "k2", 200);
        assertThat(hosts.get(0).get("/tracking/1", "k2").body()).isEqualTo("host-3");
    }

    @Test
    void restartedNodeKeepsItsUpstreamDraining() throws Exception {
        hosts.get(1).announce(2, "draining");
        Thread.sleep(300);
        hosts.get(1).close();
        Host restarted = new Host("host-2", TRACKING);
        hosts.set(1, restarted);
        Thread.sleep(500);
        restarted.announce(1, "ready");
        HttpResponse<String> response = restarted.get("/tracking/1", "k1");

        assertThat(response.statusCode()).isEqualTo(503);
        assertThat(restarted.upstream.requestHeads()).isEmpty();
    }

    private void writeConfig(String text) {
        store.put(CONFIG_KEY, text.getBytes(StandardCharsets.UTF_8));
    }

    private static void awaitStatus(Host host, String path, String key, int status) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        int last = 0;
        while (System.nanoTime() < end) {
            last = host.get(path, key).statusCode();
            if (last == status) {
                return;
            }
            Thread.sleep(50);
        }
        assertThat(last).isEqualTo(status);
    }

    private static List<String> splitWords(byte[] bytes) {
        return Arrays.asList(new String(bytes, StandardCharsets.UTF_8).split(" ", -1));
    }

    private static HostRoute route(String name, ServiceId service) {
        return new HostRoute(
                new RouteId(name),
                "127.0.0.1",
                "/" + name + "/",
                true,
                2_000,
                500,
                0,
                TrafficSplit.single(service),
                2,
                false);
    }

    private static InetSocketAddress loopback(int port) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    /** Returns an unused port below the range of ephemeral ports, so that no outgoing connection takes it meanwhile. */
    private static int freePort() throws IOException {
        for (int attempt = 0; attempt < 100; attempt++) {
            int port = ThreadLocalRandom.current().nextInt(MIN_PORT, FIRST_EPHEMERAL_PORT);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return socket.getLocalPort();
            } catch (BindException inUse) {
                // Try another port.
            }
        }
        throw new IOException("no free port between " + MIN_PORT + " and " + FIRST_EPHEMERAL_PORT);
    }
}
