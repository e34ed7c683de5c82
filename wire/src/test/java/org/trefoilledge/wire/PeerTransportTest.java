package org.trefoilledge.wire;

import static org.assertj.core.api.Assertions.assertThat;
import static org.trefoilledge.wire.PeerTestSupport.await;
import static org.trefoilledge.wire.PeerTestSupport.awaitFailure;
import static org.trefoilledge.wire.PeerTestSupport.call;
import static org.trefoilledge.wire.PeerTestSupport.echoResponse;
import static org.trefoilledge.wire.PeerTestSupport.identity;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.trefoilledge.wire.generated.Call;
import org.trefoilledge.wire.generated.Envelope;

/** Tests two transports against each other over loopback. */
@Timeout(30)
class PeerTransportTest {
    private static final TransportSettings SETTINGS = TransportSettings.of("127.0.0.1:0");

    private final List<PeerTransport> transports = new ArrayList<>();

    @AfterEach
    void close() {
        transports.forEach(PeerTransport::close);
    }

    private PeerTransport startTransport(String host, long incarnation, PeerHandler handler) throws IOException {
        return startTransport(host, incarnation, handler, SETTINGS);
    }

    private PeerTransport startTransport(String host, long incarnation, PeerHandler handler, TransportSettings settings)
            throws IOException {
        PeerTransport transport = new PeerTransport(identity(host, incarnation), handler, settings);
        transports.add(transport);
        return transport;
    }

    @Test
    void requestReceivesItsWholeResponse() throws Exception {
        AtomicReference<PeerIdentity> sender = new AtomicReference<>();
        PeerTransport server = startTransport("b", 1, (from, request, responder) -> {
            sender.set(from);
            responder.accept(echoResponse(request));
        });
        PeerTransport client = startTransport("a", 7, PeerTestSupport.SILENT);
        Envelope large = Envelope.newBuilder()
                .setCall(Call.newBuilder().setTarget("/large").setBody(ByteString.copyFrom(new byte[1024 * 1024])))
                .build();

        Envelope response = client.sendRequest(server.address(), large, 5_000).get();

        assertThat(response.getCallAnswer().getBody()).isEqualTo(large.getCall().getBody());
        assertThat(sender.get()).isEqualTo(identity("a", 7));
        assertThat(client.bytesSent()).isGreaterThan(1024 * 1024);
        assertThat(client.bytesReceived()).isGreaterThan(1024 * 1024);
        assertThat(client.openConnections()).isEqualTo(1);
    }

    /** Guards against a response that reaches the wrong request when many are open and answered in random order. */
    @Test
    void thousandConcurrentStreamsEachReceiveTheirOwnResponse() throws Exception {
        for (long seed = 1; seed <= 3; seed++) {
            respondInRandomOrder(RandomGeneratorFactory.of("L64X128MixRandom").create(seed));
        }
    }

    private void respondInRandomOrder(RandomGenerator random) throws Exception {
        List<Runnable> responses = Collections.synchronizedList(new ArrayList<>());
        PeerTransport server = startTransport(
                "b",
                random.nextLong(1_000),
                (from, request, responder) -> responses.add(() -> responder.accept(echoResponse(request))));
        PeerTransport client = startTransport("a", 1, PeerTestSupport.SILENT);
        Map<String, CompletableFuture<Envelope>> responsesByTarget = new HashMap<>();
        for (int i = 0; i < 1_000; i++) {
            responsesByTarget.put("/" + i, client.sendRequest(server.address(), call("/" + i), 10_000));
        }
        await(() -> responses.size() == 1_000);
        while (!responses.isEmpty()) {
            responses.remove(random.nextInt(responses.size())).run();
        }
        for (Map.Entry<String, CompletableFuture<Envelope>> entry : responsesByTarget.entrySet()) {
            assertThat(entry.getValue().get().getCallAnswer().getUpstream()).isEqualTo(entry.getKey());
        }
        assertThat(client.lateResponses()).isZero();
    }

    @Test
    void responseAfterTheTimeoutIsDroppedAndCounted() throws Exception {
        AtomicReference<Runnable> lateResponse = new AtomicReference<>();
        PeerTransport server = startTransport("b", 1, (from, request, responder) -> {
            if (request.getCall().getTarget().equals("/slow")) {
                lateResponse.set(() -> responder.accept(echoResponse(request)));
            } else {
                responder.accept(echoResponse(request));
            }
        });
        PeerTransport client = startTransport("a", 1, PeerTestSupport.SILENT);
        client.sendRequest(server.address(), call("/connect"), 5_000).get();

        PeerException failure = awaitFailure(client.sendRequest(server.address(), call("/slow"), 100));
        assertThat(failure.maybeSent()).isTrue();
        await(() -> lateResponse.get() != null);
        lateResponse.get().run();

        // A response sent from another thread may be written after the response to a later request.
        Envelope next =
                client.sendRequest(server.address(), call("/next"), 5_000).get();
        assertThat(next.getCallAnswer().getUpstream()).isEqualTo("/next");
        await(() -> client.lateResponses() == 1);
        Envelope last =
                client.sendRequest(server.address(), call("/last"), 5_000).get();
        assertThat(last.getCallAnswer().getUpstream()).isEqualTo("/last");
        assertThat(client.lateResponses()).isEqualTo(1);
    }

    /** Guards against a second response to the same request, which a later request could receive. */
    @Test
    void secondResponseOfAHandlerIsNotSent() throws Exception {
        PeerTransport server = startTransport("b", 1, (from, request, responder) -> {
            responder.accept(echoResponse(request));
            responder.accept(echoResponse(call("/wrong")));
        });
        PeerTransport client = startTransport("a", 1, PeerTestSupport.SILENT);
        for (int i = 0; i < 10; i++) {
            Envelope response =
                    client.sendRequest(server.address(), call("/" + i), 5_000).get();
            assertThat(response.getCallAnswer().getUpstream()).isEqualTo("/" + i);
        }
        assertThat(client.lateResponses()).isZero();
    }

    @Test
    void refusedConnectionFailsTheRequestAsNotSent() throws Exception {
        PeerTransport stopped = startTransport("b", 1, PeerTestSupport.SILENT);
        String address = stopped.address();
        stopped.close();
        PeerTransport client = startTransport("a", 1, PeerTestSupport.SILENT);

        assertThat(awaitFailure(client.sendRequest(address, call("/"), 5_000)).maybeSent())
                .isFalse();
        assertThat(awaitFailure(client.sendRequest("no-address", call("/"), 5_000))
                        .maybeSent())
                .isFalse();
    }

    /** Guards against requests that are lost, or reported as not sent, when a peer restarts at the same address. */
    @Test
    void restartedPeerFailsOpenRequestsAndServesNewOnes() throws Exception {
        RecordingHandler handler = new RecordingHandler();
        PeerTransport first = startTransport("b", 1, handler);
        PeerTransport client = startTransport("a", 1, PeerTestSupport.SILENT);
        CompletableFuture<Envelope> open = client.sendRequest(first.address(), call("/old"), 20_000);
        await(() -> handler.events.size() == 1);
        TransportSettings sameAddress = TransportSettings.of(first.address());
        first.close();

        assertThat(awaitFailure(open).maybeSent()).isTrue();
        PeerTransport second = startTransport("b", 2, PeerTestSupport.ECHO, sameAddress);
        Envelope response =
                client.sendRequest(second.address(), call("/new"), 5_000).get();
        assertThat(response.getCallAnswer().getUpstream()).isEqualTo("/new");
    }

    /** Guards against use of a connection to an earlier incarnation of a host, whose end was not noticed. */
    @Test
    void laterIncarnationClosesConnectionsToTheEarlierOne() throws Exception {
        RecordingHandler handler = new RecordingHandler();
        PeerTransport old = startTransport("b", 1, handler);
        PeerTransport client = startTransport("a", 1, PeerTestSupport.SILENT);
        CompletableFuture<Envelope> open = client.sendRequest(old.address(), call("/old"), 20_000);
        await(() -> handler.events.size() == 1);

        PeerTransport replacement = startTransport("b", 2, PeerTestSupport.SILENT);
        awaitFailure(replacement.sendRequest(client.address(), call("/hello"), 200));

        PeerException failure = awaitFailure(open);
        assertThat(failure.maybeSent()).isTrue();
        assertThat(failure).hasMessageContaining("replaced by b/z1#2");
    }

    @Test
    void cancelledRequestIsReportedToTheHandlerOnce() throws Exception {
        RecordingHandler handler = new RecordingHandler();
        PeerTransport server = startTransport("b", 1, handler);
        PeerTransport client = startTransport("a", 1, PeerTestSupport.SILENT);
        CompletableFuture<Envelope> response = client.sendRequest(server.address(), call("/"), 20_000);
        await(() -> handler.events.size() == 1);

        client.cancel(response);
        client.cancel(response);

        assertThat(awaitFailure(response)).hasMessageContaining("cancelled");
        await(() -> handler.events.size() == 2);
        client.close();
        await(() -> server.openConnections() == 0);
        assertThat(handler.events).containsExactly("request 1 /", "cancelled 1");
    }

    /** Guards against work for a caller that has disconnected. */
    @Test
    void requestsOfAClosedConnectionAreCancelled() throws Exception {
        RecordingHandler handler = new RecordingHandler();
        PeerTransport server = startTransport("b", 1, handler);
        PeerTransport client = startTransport("a", 1, PeerTestSupport.SILENT);
        CompletableFuture<Envelope> response = client.sendRequest(server.address(), call("/"), 20_000);
        await(() -> handler.events.size() == 1);
        client.close();
        await(() -> handler.events.contains("cancelled 1"));
        assertThat(awaitFailure(response).maybeSent()).isTrue();
    }

    /** Guards against a simulated partition that closes connections, unlike a real one, or that does not heal. */
    @Test
    void blockedPeerIsSilentUntilThePartitionHeals() throws Exception {
        List<String> handled = Collections.synchronizedList(new ArrayList<>());
        PeerTransport server = startTransport("b", 1, (from, request, responder) -> {
            handled.add(request.getCall().getTarget());
            responder.accept(echoResponse(request));
        });
        PeerTransport client =
                startTransport("a", 1, PeerTestSupport.SILENT, SETTINGS.withTimeouts(300, 60_000, 3_000));
        client.sendRequest(server.address(), call("/before"), 5_000).get();

        server.setBlocked(peer -> peer.host().value().equals("a"));
        PeerException failure = awaitFailure(client.sendRequest(server.address(), call("/during"), 200));
        assertThat(failure.maybeSent()).isTrue();
        assertThat(client.openConnections()).isEqualTo(1);

        server.setBlocked(peer -> false);
        client.sendRequest(server.address(), call("/after"), 5_000).get();
        assertThat(handled).containsExactly("/before", "/after");
    }

    @Test
    void blockedPeerCannotBeConnectedTo() throws Exception {
        PeerTransport server = startTransport("b", 1, PeerTestSupport.ECHO);
        PeerTransport client =
                startTransport("a", 1, PeerTestSupport.SILENT, SETTINGS.withTimeouts(200, 60_000, 3_000));
        client.setBlocked(peer -> peer.zone().value().equals("z1"));
        assertThat(awaitFailure(client.sendRequest(server.address(), call("/"), 5_000))
                        .maybeSent())
                .isFalse();

        client.setBlocked(peer -> false);
        client.sendRequest(server.address(), call("/"), 5_000).get();
    }

    /** Guards against use of a connection that stays silent after a partition until TCP retransmits, minutes later. */
    @Test
    void stalledConnectionIsReplacedWhenARequestTimesOut() throws Exception {
        assertStalledConnectionIsReplacedAfter(
                (client, address) -> awaitFailure(client.sendRequest(address, call("/"), 150)));
    }

    /** A sender that cancels its requests at their deadlines ends them before a timeout does. */
    @Test
    void stalledConnectionIsReplacedWhenARequestIsCancelled() throws Exception {
        assertStalledConnectionIsReplacedAfter((client, address) -> {
            CompletableFuture<Envelope> unanswered = client.sendRequest(address, call("/"));
            Thread.sleep(150);
            client.cancel(unanswered);
        });
    }

    /** Sends a request to a peer that does not answer, and ends it after 150 ms. */
    @FunctionalInterface
    private interface UnansweredRequest {
        void run(PeerTransport client, String address) throws Exception;
    }

    private void assertStalledConnectionIsReplacedAfter(UnansweredRequest request) throws Exception {
        PeerTransport server = startTransport("b", 1, PeerTestSupport.ECHO);
        PeerTransport client = startTransport("a", 1, PeerTestSupport.SILENT, SETTINGS.withTimeouts(300, 60_000, 100));
        client.sendRequest(server.address(), call("/"), 5_000).get();
        server.setBlocked(peer -> true);
        request.run(client, server.address());
        await(() -> client.openConnections() == 0);
        server.setBlocked(peer -> false);
        client.sendRequest(server.address(), call("/"), 5_000).get();
    }

    @Test
    void idleConnectionIsClosedAndOpenedAgainOnDemand() throws Exception {
        PeerTransport server = startTransport("b", 1, PeerTestSupport.ECHO);
        PeerTransport client = startTransport("a", 1, PeerTestSupport.SILENT, SETTINGS.withTimeouts(1_000, 100, 3_000));
        client.sendRequest(server.address(), call("/"), 5_000).get();
        await(() -> client.openConnections() == 0);
        client.sendRequest(server.address(), call("/"), 5_000).get();
    }

    /** Records requests and cancellations and never responds. */
    private static final class RecordingHandler implements PeerHandler {
        private final List<String> events = Collections.synchronizedList(new ArrayList<>());

        @Override
        public void handle(PeerIdentity from, Envelope request, Consumer<Envelope> responder) {
            events.add(
                    "request " + request.getStream() + " " + request.getCall().getTarget());
        }

        @Override
        public void onCancelled(PeerIdentity from, long streamId) {
            events.add("cancelled " + streamId);
        }
    }
}
