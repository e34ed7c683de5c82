package org.trefoilledge.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.ServiceId;
import org.trefoilledge.core.ZoneId;

/** Sidecars with stub upstreams on the loopback interface and one in-memory store. */
final class TestFleet implements AutoCloseable {
    static final ServiceId ORDERS = new ServiceId("orders");
    static final ServiceId TRACKING = new ServiceId("tracking");
    /** A joining node must be listed before keys are refused, also on a heavily loaded machine. */
    static final long REVOCATION_MILLIS = 5_000;

    private static final long CONFIG_APPLY_MILLIS = 2_000;

    static final String CONFIG_KEY = TestPlatform.CONFIG_KEY;
    static final String OPERATOR_PREFIX = TestPlatform.OPERATOR_PREFIX;

    private final MemoryStore store = new MemoryStore();
    private final List<Host> hosts = new ArrayList<>();
    private final long stopMillis;
    private OptionalLong evacuationMillis = OptionalLong.empty();
    private Optional<SidecarSettings.ColdRequests> coldRequests = Optional.empty();

    /** @param stopMillis time that a sidecar has for a planned stop */
    TestFleet(long stopMillis) {
        this.stopMillis = stopMillis;
    }

    /** Starts all further sidecars with the bound, so that they read the evacuations. */
    TestFleet withEvacuation(long millis) {
        evacuationMillis = OptionalLong.of(millis);
        return this;
    }

    /** Starts all further sidecars with the bound, so that they limit cold upstreams. */
    TestFleet withColdRequests(double over, double slack) {
        coldRequests = Optional.of(new SidecarSettings.ColdRequests(over, slack));
        return this;
    }

    /** Orders the evacuation of a zone, as operators do. */
    void evacuate(String zone) {
        store.put(TestPlatform.EVACUATION_PREFIX + zone, "{}".getBytes(StandardCharsets.UTF_8));
    }

    void revokeEvacuation(String zone) {
        store.remove(TestPlatform.EVACUATION_PREFIX + zone);
    }

    MemoryStore store() {
        return store;
    }

    /** Starts a host whose upstream answers each request with the name of the host. */
    Host start(String name, ServiceId service) throws IOException {
        return start(
                name,
                service,
                (head, socket, out) -> UpstreamStub.write(out, UpstreamStub.response(requestId(head), name)));
    }

    /** Starts a host with an upstream that answers in its own way. */
    Host start(String name, ServiceId service, UpstreamStub.Responder responder) throws IOException {
        return startInZone("a", name, service, responder);
    }

    /** Starts a host in an availability zone, whose upstream answers each request with the name of the host. */
    Host startInZone(String zone, String name, ServiceId service) throws IOException {
        return startInZone(
                zone,
                name,
                service,
                (head, socket, out) -> UpstreamStub.write(out, UpstreamStub.response(requestId(head), name)));
    }

    /** Starts a host in an availability zone with an upstream that answers in its own way. */
    Host startInZone(String zone, String name, ServiceId service, UpstreamStub.Responder responder) throws IOException {
        Host host = new Host(new ZoneId(zone), name, service, responder);
        hosts.add(host);
        host.start();
        return host;
    }

    /** Writes a configuration in the format "version key". */
    void writeConfig(String text) {
        store.put(CONFIG_KEY, text.getBytes(StandardCharsets.UTF_8));
    }

    static String requestId(String head) {
        return head.replaceAll("(?s).*X-Request: ([^\n]*)\n.*", "$1");
    }

    /** A host: an upstream, and a sidecar that can be stopped and started again at the same addresses. */
    final class Host implements AutoCloseable {
        private final UpstreamStub upstream;
        private final SidecarSettings settings;
        private Sidecar sidecar;
        /** Replaced at each start: in one process, connections of an ended sidecar can outlive it. */
        private HttpClient client;

        private Host(ZoneId zone, String name, ServiceId service, UpstreamStub.Responder responder) throws IOException {
            upstream = new UpstreamStub(responder);
            settings = new SidecarSettings(
                    new HostId(name),
                    zone,
                    List.of(zone),
                    service,
                    upstream.address(),
                    FreePorts.nextAddress(),
                    FreePorts.nextAddress(),
                    FreePorts.nextAddress(),
                    FreePorts.nextAddress(),
                    FreePorts.nextAddress(),
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), 1),
                    false,
                    "text",
                    new SidecarSettings.Bounds(
                            stopMillis,
                            CONFIG_APPLY_MILLIS,
                            REVOCATION_MILLIS,
                            60_000,
                            0.2,
                            48,
                            0.1,
                            20,
                            5_000,
                            evacuationMillis,
                            coldRequests),
                    List.of(),
                    Map.of());
        }

        void start() throws IOException {
            client = HttpClient.newHttpClient();
            sidecar = Sidecar.start(settings, new TestPlatform(store));
        }

        /** Stops the sidecar as planned. */
        void stop() {
            if (sidecar != null) {
                sidecar.close();
                sidecar = null;
            }
        }

        /** Ends the sidecar without its last calls to the store, as when it is killed. */
        void stopWithoutStore() {
            store.down(true);
            stop();
            store.down(false);
        }

        UpstreamStub upstream() {
            return upstream;
        }

        /** Announces the first run of the upstream, with the id i-1. */
        void announce(long sequence, String state) throws Exception {
            assertThat(announce("i-1", sequence, state, 1)).isEqualTo(200);
        }

        /** Announces a run of the upstream; returns the status of the response. */
        int announce(String id, long sequence, String state, long startedMillis) throws Exception {
            return announce(id, sequence, state, startedMillis, 0);
        }

        /** Announces a run of the upstream that is still cold for the given time. */
        int announce(String id, long sequence, String state, long startedMillis, long coldMillis) throws Exception {
            String body = id + " " + settings.service() + " 10 " + sequence + " " + state + " " + startedMillis + " "
                    + coldMillis;
            return send("PUT", id, body);
        }

        /** Announces the end of the upstream with the given id; returns the status of the response. */
        int deregister(String id) throws Exception {
            return send("DELETE", id, "");
        }

        private int send(String method, String id, String body) throws Exception {
            int port = settings.announcements().getPort();
            HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + "/" + id))
                    .version(HttpClient.Version.HTTP_1_1)
                    .timeout(Duration.ofSeconds(5))
                    .method(method, HttpRequest.BodyPublishers.ofString(body))
                    .build();
            return client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
        }

        HttpResponse<String> get(String path, String key) throws Exception {
            return client.send(request(path, key), HttpResponse.BodyHandlers.ofString());
        }

        CompletableFuture<HttpResponse<String>> getAsync(String path, String key) {
            return client.sendAsync(request(path, key), HttpResponse.BodyHandlers.ofString());
        }

        private HttpRequest request(String path, String key) {
            return HttpRequest.newBuilder(
                            URI.create("http://127.0.0.1:" + settings.callers().getPort() + path))
                    .version(HttpClient.Version.HTTP_1_1)
                    .timeout(Duration.ofSeconds(5))
                    .header(TestHeaders.HEADERS.requestId(), "r" + System.nanoTime())
                    .header(TestHeaders.HEADERS.key(), key)
                    .build();
        }

        /** Sends requests until one is answered with the given body. */
        void awaitBody(String path, String key, String body) throws Exception {
            long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
            String last = "";
            while (System.nanoTime() < end) {
                last = get(path, key).body();
                if (last.equals(body)) {
                    return;
                }
                Thread.sleep(50);
            }
            assertThat(last).isEqualTo(body);
        }

        /** Sends a request to the operators' address. */
        HttpResponse<String> askOperators(String method, String path, String body) throws Exception {
            URI uri = URI.create("http://127.0.0.1:" + settings.operators().getPort() + path);
            HttpRequest request = HttpRequest.newBuilder(uri)
                    .version(HttpClient.Version.HTTP_1_1)
                    .timeout(Duration.ofSeconds(5))
                    .method(method, HttpRequest.BodyPublishers.ofString(body))
                    .build();
            return client.send(request, HttpResponse.BodyHandlers.ofString());
        }

        void awaitStatus(String path, String key, int status) throws Exception {
            long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
            int last = 0;
            while (System.nanoTime() < end) {
                last = get(path, key).statusCode();
                if (last == status) {
                    return;
                }
                Thread.sleep(50);
            }
            assertThat(last).isEqualTo(status);
        }

        /** Opens a connection of a caller. */
        Socket connect() throws IOException {
            Socket socket = new Socket();
            socket.setReceiveBufferSize(16 * 1024);
            socket.setSoTimeout(10_000);
            socket.connect(settings.callers());
            return socket;
        }

        @Override
        public void close() throws IOException {
            stop();
            upstream.close();
        }
    }

    @Override
    public void close() throws IOException {
        for (Host host : hosts) {
            host.close();
        }
    }
}
