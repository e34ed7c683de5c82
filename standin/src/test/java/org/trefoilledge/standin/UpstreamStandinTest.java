package org.trefoilledge.standin;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class UpstreamStandinTest {
    private final HttpClient http = HttpClient.newHttpClient();
    private UpstreamStandin upstream;

    @AfterEach
    void stop() {
        if (upstream != null) {
            upstream.close();
        }
    }

    @Test
    void responseDescribesTheExecutedRequest() throws Exception {
        start(fastOptions());
        JsonNode body = json(http.send(
                requestTo("/orders/7?id=r1")
                        .POST(HttpRequest.BodyPublishers.ofString("12345"))
                        .build(),
                BodyHandlers.ofString()));
        assertThat(body.path("host").asText()).isEqualTo("a-1");
        assertThat(body.path("method").asText()).isEqualTo("POST");
        assertThat(body.path("path").asText()).isEqualTo("/orders/7");
        assertThat(body.path("requestId").asText()).isEqualTo("r1");
        assertThat(body.path("bodyBytes").asInt()).isEqualTo(5);
    }

    @Test
    void responseHasTheRequestedSize() throws Exception {
        start(fastOptions());
        assertThat(get("/x?size=5000").body()).hasSize(5000);
    }

    @Test
    void executionsAreCountedByIdempotencyKey() throws Exception {
        start(fastOptions());
        HttpRequest request =
                requestTo("/orders").header("Idempotency-Key", "k1").build();
        http.send(request, BodyHandlers.ofString());
        http.send(request, BodyHandlers.ofString());
        assertThat(upstream.executionsByKey()).containsExactly(java.util.Map.entry("k1", 2L));
    }

    /** Guards against more concurrent executions than announced slots, which would hide overload. */
    @Test
    void requestsBeyondTheSlotsWait() throws Exception {
        start(fastOptions().withCapacity(1, 100, 10).withServiceTime(60, 0));
        long start = System.nanoTime();
        CompletableFuture<?> first = sendAsync("/a");
        CompletableFuture<?> second = sendAsync("/b");
        CompletableFuture.allOf(first, second).join();
        assertThat((System.nanoTime() - start) / 1_000_000).isGreaterThanOrEqualTo(120);
    }

    @Test
    void requestsBeyondTheQueueAreRefused() throws Exception {
        start(fastOptions().withCapacity(1, 100, 0));
        upstream.apply(UpstreamBehaviour.HEALTHY.withHang(true));
        CompletableFuture<HttpResponse<String>> hanging = sendAsync("/a");
        Await.until(() -> upstream.totals().get("started") == 1);
        assertThat(get("/b").statusCode()).isEqualTo(503);
        upstream.apply(UpstreamBehaviour.HEALTHY);
        assertThat(hanging.join().statusCode()).isEqualTo(200);
    }

    /** Guards against a slot that stays occupied by a request whose caller has disconnected. */
    @Test
    void closedConnectionCancelsARunningRequest() throws Exception {
        start(fastOptions().withCapacity(1, 100, 10));
        upstream.apply(UpstreamBehaviour.HEALTHY.withHang(true));
        try (Socket socket = connect()) {
            write(socket, "GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
            Await.until(() -> upstream.totals().get("started") == 1);
        }
        Await.until(() -> upstream.totals().get("cancelled") == 1);
        upstream.apply(UpstreamBehaviour.HEALTHY);
        assertThat(get("/b").statusCode()).isEqualTo(200);
    }

    @Test
    void closedConnectionRemovesAWaitingRequest() throws Exception {
        start(fastOptions().withCapacity(1, 100, 10));
        upstream.apply(UpstreamBehaviour.HEALTHY.withHang(true));
        CompletableFuture<?> hanging = sendAsync("/a");
        Await.until(() -> upstream.totals().get("started") == 1);
        try (Socket socket = connect()) {
            write(socket, "GET /b HTTP/1.1\r\nHost: x\r\n\r\n");
            Await.until(() -> upstream.received("/b"));
        }
        Await.until(() -> upstream.totals().get("abandoned") == 1);
        upstream.apply(UpstreamBehaviour.HEALTHY);
        hanging.join();
    }

    /** Guards against a keep-alive connection that becomes unusable after it was watched for its close. */
    @Test
    void connectionServesManyRequestsInTurn() throws Exception {
        start(fastOptions().withServiceTime(0, 0));
        for (int i = 0; i < 200; i++) {
            assertThat(get("/a?id=r" + i).body()).contains("\"requestId\":\"r" + i + "\"");
        }
        assertThat(upstream.totals()).containsEntry("finished", 200L).containsEntry("cancelled", 0L);
    }

    @Test
    void deadlineThatPassesInTheQueueEndsTheRequest() throws Exception {
        start(fastOptions().withCapacity(1, 100, 10).withServiceTime(100, 0));
        CompletableFuture<?> first = sendAsync("/a");
        Await.until(() -> upstream.totals().get("started") == 1);
        HttpRequest expiring =
                requestTo("/b").header("Trefoilledge-Deadline-Ms", "20").build();
        assertThat(http.send(expiring, BodyHandlers.ofString()).statusCode()).isEqualTo(504);
        first.join();
        assertThat(upstream.totals()).containsEntry("expired", 1L).containsEntry("started", 1L);
    }

    @Test
    void workFinishedAfterItsDeadlineIsCountedAsWasted() throws Exception {
        start(fastOptions().withServiceTime(60, 0));
        HttpRequest expiring =
                requestTo("/b").header("Trefoilledge-Deadline-Ms", "20").build();
        http.send(expiring, BodyHandlers.ofString());
        assertThat(upstream.totals()).containsEntry("wasted", 1L);
    }

    @Test
    void slowdownMultipliesTheServiceTime() throws Exception {
        start(fastOptions().withServiceTime(20, 0));
        upstream.apply(UpstreamBehaviour.HEALTHY.withSlowdown(5));
        assertThat(responseMillis("/a")).isGreaterThanOrEqualTo(100);
    }

    @Test
    void firstRequestsAfterAColdStartAreSlow() throws Exception {
        start(fastOptions().withServiceTime(10, 0).withColdStartMillis(60_000));
        assertThat(responseMillis("/a")).isGreaterThanOrEqualTo(80);
    }

    @Test
    void failureRatioOfOneFailsEachRequest() throws Exception {
        start(fastOptions());
        upstream.apply(UpstreamBehaviour.HEALTHY.withFailureRatio(1));
        assertThat(get("/a").statusCode()).isEqualTo(500);
    }

    @Test
    void connectionIsResetAfterTheConfiguredNumberOfBytes() throws Exception {
        start(fastOptions());
        upstream.apply(UpstreamBehaviour.HEALTHY.withResetAfterBytes(10));
        assertThatThrownBy(() -> get("/a")).isInstanceOf(IOException.class);
        assertThat(upstream.totals()).containsEntry("finished", 1L);
    }

    @Test
    void textInAHeaderIsFoundAmongTheReceivedBytes() throws Exception {
        start(fastOptions());
        http.send(requestTo("/a").header("X-Note", "secret-1").build(), BodyHandlers.ofString());
        assertThat(upstream.received("secret-1")).isTrue();
    }

    @Test
    void textInATrailerIsFoundAmongTheReceivedBytes() throws Exception {
        start(fastOptions());
        try (Socket socket = connect()) {
            List<String> lines = List.of(
                    "POST /a HTTP/1.1", "Host: x", "Transfer-Encoding: chunked", "", "2", "ab", "0", "T: secret-2", "");
            write(socket, String.join("\r\n", lines) + "\r\n");
            readByte(socket);
        }
        assertThat(upstream.received("secret-2")).isTrue();
    }

    /** Guards against a search that finds its own search text in the recorded bytes. */
    @Test
    void controlCallIsNotAmongTheReceivedBytes() throws Exception {
        start(fastOptions());
        assertThat(json(get("/.standin/received?contains=secret-3"))
                        .path("contains")
                        .asBoolean())
                .isFalse();
        assertThat(upstream.received("secret-3")).isFalse();
    }

    @Test
    void bytesOfMalformedRequestsAreKept() throws Exception {
        start(fastOptions());
        try (Socket socket = connect()) {
            write(socket, "secret-4 is not HTTP\r\n\r\n");
            readByte(socket);
        }
        Await.until(() -> upstream.received("secret-4"));
    }

    @Test
    void loadEndpointLags() throws Exception {
        start(fastOptions());
        upstream.apply(UpstreamBehaviour.HEALTHY.withHang(true).withLoadLagMillis(60_000));
        CompletableFuture<?> hanging = sendAsync("/a");
        Await.until(() -> upstream.totals().get("started") == 1);
        Thread.sleep(3 * LoadHistory.SAMPLE_INTERVAL_MILLIS);
        assertThat(json(get("/load")).path("running").asInt()).isZero();
        upstream.apply(upstream.behaviour().withLoadLagMillis(0));
        assertThat(json(get("/load")).path("running").asInt()).isEqualTo(1);
        upstream.apply(UpstreamBehaviour.HEALTHY);
        hanging.join();
    }

    @Test
    void settingsCallChangesOnlyTheGivenFields() throws Exception {
        start(fastOptions());
        upstream.apply(UpstreamBehaviour.HEALTHY.withSlowdown(3));
        HttpResponse<String> response = put("/.standin/settings", "{\"state\":\"draining\"}");
        assertThat(response.statusCode()).isEqualTo(200);
        assertThat(upstream.behaviour())
                .isEqualTo(UpstreamBehaviour.HEALTHY.withSlowdown(3).withState(UpstreamState.DRAINING));
    }

    @Test
    void unknownSettingIsRefused() throws Exception {
        start(fastOptions());
        assertThat(put("/.standin/settings", "{\"speed\":1}").statusCode()).isEqualTo(400);
    }

    @Test
    void announcesItselfWithItsState() throws Exception {
        try (UpstreamStandin node = UpstreamStandin.start(UpstreamOptions.of("node", "node"))) {
            start(fastOptions().withNode(node.address()));
            Await.until(() -> node.received("PUT /.trefoilledge/upstream") && node.received("\"state\":\"serving\""));
            upstream.apply(UpstreamBehaviour.HEALTHY.withState(UpstreamState.DRAINING));
            Await.until(() -> node.received("\"state\":\"draining\""));
        }
    }

    @Test
    void childCallsCarryTheContext() throws Exception {
        try (UpstreamStandin node = UpstreamStandin.start(UpstreamOptions.of("node", "node"))) {
            start(fastOptions().withNode(node.address()).withCalls(List.of("GET /stock/{n}")));
            HttpRequest request =
                    requestTo("/a").header("Trefoilledge-Context", "c0ffee").build();
            assertThat(http.send(request, BodyHandlers.ofString()).statusCode()).isEqualTo(200);
            assertThat(node.received("GET /stock/")).isTrue();
            assertThat(node.received("Trefoilledge-Context: c0ffee")).isTrue();
        }
    }

    @Test
    void failedChildCallFailsTheRequest() throws Exception {
        try (UpstreamStandin node = UpstreamStandin.start(UpstreamOptions.of("node", "node"))) {
            node.apply(UpstreamBehaviour.HEALTHY.withFailureRatio(1));
            start(fastOptions().withNode(node.address()).withCalls(List.of("GET /stock/{n}")));
            assertThat(get("/a").statusCode()).isEqualTo(502);
        }
    }

    /** Guards against child calls for a request whose deadline has passed. */
    @Test
    void noChildCallIsSentAfterTheDeadline() throws Exception {
        try (UpstreamStandin node = UpstreamStandin.start(UpstreamOptions.of("node", "node"))) {
            start(fastOptions().withServiceTime(60, 0).withNode(node.address()).withCalls(List.of("GET /stock/{n}")));
            HttpRequest expiring =
                    requestTo("/a").header("Trefoilledge-Deadline-Ms", "20").build();
            assertThat(http.send(expiring, BodyHandlers.ofString()).statusCode())
                    .isEqualTo(504);
            assertThat(node.received("GET /stock/")).isFalse();
        }
    }

    @Test
    void drainingWaitsForRunningRequests() throws Exception {
        start(fastOptions().withServiceTime(300, 0));
        CompletableFuture<HttpResponse<String>> running = sendAsync("/a");
        Await.until(() -> upstream.totals().get("started") == 1);
        assertThat(upstream.drain(10_000)).isTrue();
        assertThat(running.join().statusCode()).isEqualTo(200);
    }

    private void start(UpstreamOptions options) throws IOException {
        upstream = UpstreamStandin.start(options);
    }

    private static UpstreamOptions fastOptions() {
        return UpstreamOptions.of("a-1", "print-orders").withServiceTime(1, 0);
    }

    private HttpRequest.Builder requestTo(String path) {
        return HttpRequest.newBuilder(URI.create("http://" + upstream.address() + path))
                .version(HttpClient.Version.HTTP_1_1);
    }

    private HttpResponse<String> get(String path) throws Exception {
        return http.send(requestTo(path).build(), BodyHandlers.ofString());
    }

    private HttpResponse<String> put(String path, String body) throws Exception {
        return http.send(
                requestTo(path).PUT(HttpRequest.BodyPublishers.ofString(body)).build(), BodyHandlers.ofString());
    }

    private CompletableFuture<HttpResponse<String>> sendAsync(String path) {
        return http.sendAsync(requestTo(path).build(), BodyHandlers.ofString());
    }

    private long responseMillis(String path) throws Exception {
        long start = System.nanoTime();
        get(path);
        return (System.nanoTime() - start) / 1_000_000;
    }

    private static JsonNode json(HttpResponse<String> response) throws Exception {
        return Exchange.MAPPER.readTree(response.body());
    }

    private Socket connect() throws IOException {
        return new Socket(InetAddress.getLoopbackAddress(), upstream.port());
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static void readByte(Socket socket) throws IOException {
        InputStream in = socket.getInputStream();
        assertThat(in.read()).isGreaterThanOrEqualTo(0);
    }
}
