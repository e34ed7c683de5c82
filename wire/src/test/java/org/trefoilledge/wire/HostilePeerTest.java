package org.trefoilledge.wire;

import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.params.provider.Arguments.arguments;
import static org.trefoilledge.wire.Peers.answerOf;
import static org.trefoilledge.wire.Peers.await;
import static org.trefoilledge.wire.Peers.call;
import static org.trefoilledge.wire.Peers.failureOf;
import static org.trefoilledge.wire.Peers.identity;
import static org.trefoilledge.wire.RawPeer.frame;
import static org.trefoilledge.wire.RawPeer.response;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.trefoilledge.wire.generated.Call;
import org.trefoilledge.wire.generated.Envelope;
import org.trefoilledge.wire.generated.Hello;

/** Tests a transport against peers that are slow, faulty or malicious, written on plain sockets. */
@Timeout(30)
class HostilePeerTest {
    private static final PeerIdentity PEER = identity("b", 1);
    private static final int BODY_BYTES = 512 * 1024;

    private final List<String> handled = Collections.synchronizedList(new ArrayList<>());
    private ServerSocket listener;
    private PeerTransport transport;

    @BeforeEach
    void start() throws IOException {
        listener = RawPeer.listen();
        TransportSettings settings = TransportSettings.of("127.0.0.1:0").withMaxUnwrittenBytes(4 * BODY_BYTES);
        transport = new PeerTransport(
                identity("a", 1),
                (from, request, responder) -> {
                    handled.add(request.getCall().getTarget());
                    responder.accept(answerOf(request));
                },
                settings);
    }

    @AfterEach
    void close() throws IOException {
        transport.close();
        listener.close();
    }

    private CompletableFuture<Envelope> ask(String target) {
        return transport.ask(RawPeer.address(listener), call(target), 10_000);
    }

    private static String upstreamOf(CompletableFuture<Envelope> answer) throws Exception {
        return answer.get().getCallAnswer().getUpstream();
    }

    @Test
    void responsesInReverseOrderReachTheirRequests() throws Exception {
        CompletableFuture<Envelope> first = ask("/first");
        CompletableFuture<Envelope> second = ask("/second");
        try (RawPeer peer = RawPeer.accept(listener, PEER)) {
            Envelope one = peer.read();
            Envelope two = peer.read();
            peer.write(frame(response(two)));
            peer.write(frame(response(one)));
            assertThat(upstreamOf(first)).isEqualTo("/first");
            assertThat(upstreamOf(second)).isEqualTo("/second");
        }
    }

    @Test
    void repeatedResponseIsDroppedAndCounted() throws Exception {
        CompletableFuture<Envelope> first = ask("/first");
        try (RawPeer peer = RawPeer.accept(listener, PEER)) {
            byte[] response = frame(response(peer.read()));
            peer.write(response);
            peer.write(response);
            assertThat(upstreamOf(first)).isEqualTo("/first");
            CompletableFuture<Envelope> second = ask("/second");
            peer.write(response);
            peer.write(frame(response(peer.read())));
            assertThat(upstreamOf(second)).isEqualTo("/second");
            assertThat(transport.lateResponses()).isEqualTo(2);
        }
    }

    @Test
    void truncatedResponseFailsTheRequest() throws Exception {
        CompletableFuture<Envelope> answer = ask("/");
        try (RawPeer peer = RawPeer.accept(listener, PEER)) {
            byte[] response = frame(response(peer.read()));
            peer.write(Arrays.copyOf(response, response.length - 1));
        }
        assertThat(failureOf(answer).sent()).isTrue();
    }

    @Test
    void wrongChecksumClosesTheConnectionAndFailsAllItsRequests() throws Exception {
        CompletableFuture<Envelope> first = ask("/first");
        CompletableFuture<Envelope> second = ask("/second");
        try (RawPeer peer = RawPeer.accept(listener, PEER)) {
            byte[] damaged = frame(response(peer.read()));
            damaged[damaged.length - 1] ^= 1;
            byte[] correct = frame(response(peer.read()));
            byte[] both = Arrays.copyOf(damaged, damaged.length + correct.length);
            System.arraycopy(correct, 0, both, damaged.length, correct.length);
            peer.write(both);
            assertThat(failureOf(first)).hasMessageContaining("wrong checksum");
            assertThat(failureOf(second)).hasMessageContaining("wrong checksum");
            assertThat(peer.closedByPeer()).isTrue();
        }
    }

    /** Guards against a response for a stream that was never used, which a later request could receive. */
    @Test
    void responseToAFutureStreamClosesTheConnection() throws Exception {
        CompletableFuture<Envelope> answer = ask("/");
        try (RawPeer peer = RawPeer.accept(listener, PEER)) {
            Envelope request = peer.read();
            peer.write(frame(response(request).toBuilder()
                    .setStream(request.getStream() + 1)
                    .build()));
            assertThat(failureOf(answer).sent()).isTrue();
        }
    }

    @Test
    void peerThatChangesItsIdentityIsDisconnected() throws Exception {
        CompletableFuture<Envelope> answer = ask("/");
        try (RawPeer peer = RawPeer.accept(listener, PEER)) {
            Envelope request = peer.read();
            peer.write(frame(RawPeer.hello(identity("b", 2))));
            peer.write(frame(response(request)));
            assertThat(failureOf(answer)).hasMessageContaining("second Hello");
        }
    }

    /** Guards against unbounded memory for a peer that reads nothing. */
    @Test
    void slowPeerFailsFurtherRequestsAsNotSent() throws Exception {
        Envelope large = Envelope.newBuilder()
                .setCall(Call.newBuilder().setBody(ByteString.copyFrom(new byte[BODY_BYTES])))
                .build();
        CompletableFuture<Envelope> first = ask("/first");
        try (RawPeer peer = RawPeer.accept(listener, PEER)) {
            peer.write(frame(response(peer.read())));
            first.get();
            // The socket buffers of the kernel take some of these before the transport has to keep bytes itself.
            CompletableFuture<Envelope> refused = null;
            for (int i = 0; i < 1_000 && (refused == null || !refused.isDone()); i++) {
                refused = transport.ask(RawPeer.address(listener), large, 10_000);
                Thread.sleep(1);
            }
            PeerException failure = failureOf(refused);
            assertThat(failure).hasMessageContaining("too many unwritten bytes");
            assertThat(failure.sent()).isFalse();
        }
    }

    /** Guards against unbounded responses for a peer that sends requests and reads nothing. */
    @Test
    void peerThatReadsNoResponsesIsNotReadUntilItDoes() throws Exception {
        int requests = 60;
        try (RawPeer peer = RawPeer.connect(transport.address())) {
            peer.write(frame(RawPeer.hello(PEER)));
            peer.read();
            Thread writer = new Thread(() -> writeRequests(peer, requests));
            writer.start();
            writer.join(1_000);
            assertThat(handled).hasSizeBetween(1, requests / 2);
            for (int i = 1; i <= requests; i++) {
                assertThat(peer.read().getStream()).isEqualTo(i);
            }
        }
    }

    private static void writeRequests(RawPeer peer, int requests) {
        Call call = Call.newBuilder()
                .setBody(ByteString.copyFrom(new byte[BODY_BYTES]))
                .build();
        try {
            for (int i = 1; i <= requests; i++) {
                peer.write(
                        frame(Envelope.newBuilder().setStream(i).setCall(call).build()));
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Guards against a peer that never says who it is and so holds requests for longer than their callers wait. */
    @Test
    void peerWithoutHelloFailsTheRequestAsNotSent() throws Exception {
        PeerException failure = failureOf(ask("/"));
        assertThat(failure).hasMessageContaining("no identity within");
        assertThat(failure.sent()).isFalse();
    }

    static Stream<Arguments> invalidOpenings() {
        Envelope early = call("/").toBuilder().setStream(1).build();
        Hello hello = PEER.hello();
        Hello otherProtocol =
                hello.toBuilder().setProtocol(PeerIdentity.PROTOCOL + 1).build();
        Hello invalidHost = hello.toBuilder().setHost("No Host").build();
        return Stream.of(
                arguments("request before Hello", frame(early)),
                arguments(
                        "other protocol",
                        frame(Envelope.newBuilder().setHello(otherProtocol).build())),
                arguments(
                        "invalid host",
                        frame(Envelope.newBuilder().setHello(invalidHost).build())),
                arguments("frame above the bound", frame(1L << 31, 0, new byte[0])),
                arguments("endless length", new byte[] {-1, -1, -1, -1, -1}),
                arguments("no message", frame(Envelope.getDefaultInstance())));
    }

    /** Guards against work, or allocation of any announced length, for what is not a correct peer. */
    @ParameterizedTest(name = "{0}")
    @MethodSource("invalidOpenings")
    void invalidOpeningClosesTheConnection(String name, byte[] bytes) throws IOException {
        try (RawPeer peer = RawPeer.connect(transport.address())) {
            peer.write(bytes);
            assertThat(peer.closedByPeer()).as(name).isTrue();
        }
        assertThat(handled).isEmpty();
    }

    /** Guards against a second run of a non-idempotent request. */
    @Test
    void repeatedRequestFrameIsNotHandledTwice() throws Exception {
        byte[] request = frame(call("/once").toBuilder().setStream(5).build());
        try (RawPeer peer = RawPeer.connect(transport.address())) {
            peer.write(frame(RawPeer.hello(PEER)));
            peer.write(request);
            await(() -> handled.size() == 1);
            peer.write(request);
            assertThat(peer.closedByPeer()).isTrue();
        }
        assertThat(handled).containsExactly("/once");
    }

    /** Guards against frames that are misread when TCP delivers them in parts. */
    @Test
    void frameInSingleBytesIsHandled() throws Exception {
        try (RawPeer peer = RawPeer.connect(transport.address())) {
            peer.write(frame(RawPeer.hello(PEER)));
            peer.read();
            for (byte next :
                    frame(call("/x".repeat(100)).toBuilder().setStream(1).build())) {
                peer.write(new byte[] {next});
            }
            assertThat(peer.read().getCallAnswer().getUpstream()).isEqualTo("/x".repeat(100));
        }
    }
}
