package org.trefoilledge.wire;

import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.params.provider.Arguments.arguments;
import static org.trefoilledge.wire.PeerTestSupport.await;
import static org.trefoilledge.wire.PeerTestSupport.awaitFailure;
import static org.trefoilledge.wire.PeerTestSupport.call;
import static org.trefoilledge.wire.PeerTestSupport.echoResponse;
import static org.trefoilledge.wire.PeerTestSupport.identity;
import static org.trefoilledge.wire.RawPeer.encodeFrame;
import static org.trefoilledge.wire.RawPeer.responseEnvelope;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.trefoilledge.wire.generated.Call;
import org.trefoilledge.wire.generated.Envelope;
import org.trefoilledge.wire.generated.Hello;

/** Tests a transport against slow, faulty and malicious peers, which are implemented on plain sockets. */
@Timeout(30)
class HostilePeerTest {
    private static final PeerIdentity PEER_IDENTITY = identity("b", 1);
    private static final int BODY_BYTES = 512 * 1024;

    private final List<String> handledTargets = Collections.synchronizedList(new ArrayList<>());
    private ServerSocket listener;
    private PeerTransport transport;

    @BeforeEach
    void start() throws IOException {
        listener = RawPeer.listen();
        TransportSettings settings = TransportSettings.of("127.0.0.1:0").withMaxUnwrittenBytes(4 * BODY_BYTES);
        transport = new PeerTransport(
                identity("a", 1),
                (from, request, responder) -> {
                    handledTargets.add(request.getCall().getTarget());
                    responder.accept(echoResponse(request));
                },
                settings);
    }

    @AfterEach
    void close() throws IOException {
        transport.close();
        listener.close();
    }

    private CompletableFuture<Envelope> sendRequest(String target) {
        return transport.sendRequest(RawPeer.address(listener), call(target), 10_000);
    }

    private static String awaitEchoedTarget(CompletableFuture<Envelope> response) throws Exception {
        return response.get().getCallAnswer().getUpstream();
    }

    @Test
    void responsesInReverseOrderReachTheirRequests() throws Exception {
        CompletableFuture<Envelope> first = sendRequest("/first");
        CompletableFuture<Envelope> second = sendRequest("/second");
        try (RawPeer peer = RawPeer.accept(listener, PEER_IDENTITY)) {
            Envelope firstRequest = peer.read();
            Envelope secondRequest = peer.read();
            peer.write(encodeFrame(responseEnvelope(secondRequest)));
            peer.write(encodeFrame(responseEnvelope(firstRequest)));
            assertThat(awaitEchoedTarget(first)).isEqualTo("/first");
            assertThat(awaitEchoedTarget(second)).isEqualTo("/second");
        }
    }

    @Test
    void repeatedResponseIsDroppedAndCounted() throws Exception {
        CompletableFuture<Envelope> first = sendRequest("/first");
        try (RawPeer peer = RawPeer.accept(listener, PEER_IDENTITY)) {
            byte[] responseFrame = encodeFrame(responseEnvelope(peer.read()));
            peer.write(responseFrame);
            peer.write(responseFrame);
            assertThat(awaitEchoedTarget(first)).isEqualTo("/first");
            CompletableFuture<Envelope> second = sendRequest("/second");
            peer.write(responseFrame);
            peer.write(encodeFrame(responseEnvelope(peer.read())));
            assertThat(awaitEchoedTarget(second)).isEqualTo("/second");
            assertThat(transport.lateResponses()).isEqualTo(2);
        }
    }

    /** When the bytes of a repeated response arrive. */
    private enum Moment {
        BEHIND_FIRST_RESPONSE,
        BETWEEN_REQUESTS,
        AROUND_SECOND_REQUEST,
        WITH_SECOND_RESPONSE
    }

    /** Guards against a repeated response, cut at any byte, that becomes a part of the response to the next request. */
    @ParameterizedTest
    @EnumSource
    void responseIsThatOfItsRequestWhereverARepeatedResponseIsCut(Moment moment) throws Exception {
        Envelope request = call("/first").toBuilder().setStream(1).build();
        int frameLength = encodeFrame(responseEnvelope(request)).length;
        for (int cut = 1; cut <= frameLength; cut++) {
            assertThat(targetOfSecondResponse(cut, moment))
                    .as("cut after %d", cut)
                    .isIn("/second", "lost");
        }
    }

    /** Guards against bytes on a new connection that become a part of the handshake or of a response. */
    @Test
    void requestHasNoAnswerIfAConnectionBeginsWithAResponse() throws Exception {
        byte[] frame =
                encodeFrame(responseEnvelope(call("/").toBuilder().setStream(1).build()));
        for (int cut = 1; cut <= frame.length; cut++) {
            CompletableFuture<Envelope> response;
            try (ServerSocket server = RawPeer.listen()) {
                response = transport.sendRequest(RawPeer.address(server), call("/"), 10_000);
                try (RawPeer peer = RawPeer.acceptWithoutHello(server)) {
                    byte[] hello = encodeFrame(RawPeer.helloEnvelope(PEER_IDENTITY));
                    peer.write(concat(Arrays.copyOf(frame, cut), concat(hello, frame)));
                    assertThat(peer.read().hasHello()).isTrue();
                }
            }
            assertThat(targetOrLost(response)).as("cut after %d", cut).isIn("not sent", "lost");
        }
    }

    /** Returns the target that the response to the second request repeats, "lost" if that request may have been sent. */
    private String targetOfSecondResponse(int cut, Moment moment) throws Exception {
        CompletableFuture<Envelope> second;
        try (ServerSocket server = RawPeer.listen()) {
            CompletableFuture<Envelope> first = transport.sendRequest(RawPeer.address(server), call("/first"), 10_000);
            try (RawPeer peer = RawPeer.accept(server, PEER_IDENTITY)) {
                byte[] frame = encodeFrame(responseEnvelope(peer.read()));
                byte[] copy = Arrays.copyOf(frame, Math.min(cut, frame.length));
                int sentBefore =
                        switch (moment) {
                            case BEHIND_FIRST_RESPONSE, BETWEEN_REQUESTS -> copy.length;
                            case AROUND_SECOND_REQUEST -> copy.length / 2;
                            case WITH_SECOND_RESPONSE -> 0;
                        };
                byte[] before = Arrays.copyOf(copy, sentBefore);
                if (moment == Moment.BEHIND_FIRST_RESPONSE) {
                    peer.write(concat(frame, before));
                    assertThat(awaitEchoedTarget(first)).isEqualTo("/first");
                } else {
                    peer.write(frame);
                    assertThat(awaitEchoedTarget(first)).isEqualTo("/first");
                    peer.write(before);
                }
                second = transport.sendRequest(RawPeer.address(server), call("/second"), 10_000);
                byte[] next = encodeFrame(responseEnvelope(peer.read()));
                peer.write(concat(Arrays.copyOfRange(copy, sentBefore, copy.length), next));
            }
        }
        return targetOrLost(second);
    }

    private static byte[] concat(byte[] first, byte[] second) {
        byte[] both = Arrays.copyOf(first, first.length + second.length);
        System.arraycopy(second, 0, both, first.length, second.length);
        return both;
    }

    private static String targetOrLost(CompletableFuture<Envelope> response) throws Exception {
        try {
            return awaitEchoedTarget(response);
        } catch (ExecutionException e) {
            return ((PeerException) e.getCause()).maybeSent() ? "lost" : "not sent";
        }
    }

    @Test
    void truncatedResponseFailsTheRequest() throws Exception {
        CompletableFuture<Envelope> response = sendRequest("/");
        try (RawPeer peer = RawPeer.accept(listener, PEER_IDENTITY)) {
            byte[] frame = encodeFrame(responseEnvelope(peer.read()));
            peer.write(Arrays.copyOf(frame, frame.length - 1));
        }
        assertThat(awaitFailure(response).maybeSent()).isTrue();
    }

    @Test
    void wrongChecksumClosesTheConnectionAndFailsAllItsRequests() throws Exception {
        CompletableFuture<Envelope> first = sendRequest("/first");
        CompletableFuture<Envelope> second = sendRequest("/second");
        try (RawPeer peer = RawPeer.accept(listener, PEER_IDENTITY)) {
            byte[] damaged = encodeFrame(responseEnvelope(peer.read()));
            damaged[damaged.length - 1] ^= 1;
            byte[] correct = encodeFrame(responseEnvelope(peer.read()));
            byte[] both = Arrays.copyOf(damaged, damaged.length + correct.length);
            System.arraycopy(correct, 0, both, damaged.length, correct.length);
            peer.write(both);
            assertThat(awaitFailure(first)).hasMessageContaining("wrong checksum");
            assertThat(awaitFailure(second)).hasMessageContaining("wrong checksum");
            assertThat(peer.awaitClosedByPeer()).isTrue();
        }
    }

    /** Guards against a response to a stream id that is not yet in use, which a later request could receive. */
    @Test
    void responseToAFutureStreamClosesTheConnection() throws Exception {
        CompletableFuture<Envelope> response = sendRequest("/");
        try (RawPeer peer = RawPeer.accept(listener, PEER_IDENTITY)) {
            Envelope request = peer.read();
            peer.write(encodeFrame(responseEnvelope(request).toBuilder()
                    .setStream(request.getStream() + 1)
                    .build()));
            assertThat(awaitFailure(response).maybeSent()).isTrue();
        }
    }

    @Test
    void peerThatChangesItsIdentityIsDisconnected() throws Exception {
        CompletableFuture<Envelope> response = sendRequest("/");
        try (RawPeer peer = RawPeer.accept(listener, PEER_IDENTITY)) {
            Envelope request = peer.read();
            peer.write(encodeFrame(RawPeer.helloEnvelope(identity("b", 2))));
            peer.write(encodeFrame(responseEnvelope(request)));
            assertThat(awaitFailure(response)).hasMessageContaining("second Hello");
        }
    }

    /** Guards against unbounded memory use when a peer reads nothing. */
    @Test
    void slowPeerFailsFurtherRequestsAsNotSent() throws Exception {
        Envelope large = Envelope.newBuilder()
                .setCall(Call.newBuilder().setBody(ByteString.copyFrom(new byte[BODY_BYTES])))
                .build();
        CompletableFuture<Envelope> first = sendRequest("/first");
        try (RawPeer peer = RawPeer.accept(listener, PEER_IDENTITY)) {
            peer.write(encodeFrame(responseEnvelope(peer.read())));
            first.get();
            // The kernel's socket buffers accept some of these requests before the transport has to buffer bytes
            // itself.
            CompletableFuture<Envelope> refused = null;
            for (int i = 0; i < 1_000 && (refused == null || !refused.isDone()); i++) {
                refused = transport.sendRequest(RawPeer.address(listener), large, 10_000);
                Thread.sleep(1);
            }
            PeerException failure = awaitFailure(refused);
            assertThat(failure).hasMessageContaining("too many unwritten bytes");
            assertThat(failure.maybeSent()).isFalse();
        }
    }

    /** Guards against unbounded memory use for the responses to a peer that sends requests and reads nothing. */
    @Test
    void requestsAreNotReadWhileThePeerReadsNoResponses() throws Exception {
        int requests = 60;
        try (RawPeer peer = RawPeer.connect(transport.address())) {
            peer.write(encodeFrame(RawPeer.helloEnvelope(PEER_IDENTITY)));
            peer.read();
            Thread writer = new Thread(() -> writeRequests(peer, requests));
            writer.start();
            writer.join(1_000);
            assertThat(handledTargets).hasSizeBetween(1, requests / 2);
            assertThat(transport.hasUnwrittenResponses()).isTrue();
            for (int i = 1; i <= requests; i++) {
                assertThat(peer.read().getStream()).isEqualTo(i);
            }
            await(() -> !transport.hasUnwrittenResponses());
        }
    }

    private static void writeRequests(RawPeer peer, int requests) {
        Call call = Call.newBuilder()
                .setBody(ByteString.copyFrom(new byte[BODY_BYTES]))
                .build();
        try {
            for (int i = 1; i <= requests; i++) {
                peer.write(encodeFrame(
                        Envelope.newBuilder().setStream(i).setCall(call).build()));
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Guards against a peer that never sends its Hello and so delays requests for longer than their callers wait. */
    @Test
    void peerWithoutHelloFailsTheRequestAsNotSent() throws Exception {
        PeerException failure = awaitFailure(sendRequest("/"));
        assertThat(failure).hasMessageContaining("no identity within");
        assertThat(failure.maybeSent()).isFalse();
    }

    static Stream<Arguments> invalidOpenings() {
        Envelope earlyRequest = call("/").toBuilder().setStream(1).build();
        Hello hello = PEER_IDENTITY.toHello();
        Hello otherProtocol =
                hello.toBuilder().setProtocol(PeerIdentity.PROTOCOL_VERSION + 1).build();
        Hello invalidHost = hello.toBuilder().setHost("No Host").build();
        return Stream.of(
                arguments("request before Hello", encodeFrame(earlyRequest)),
                arguments(
                        "other protocol",
                        encodeFrame(
                                Envelope.newBuilder().setHello(otherProtocol).build())),
                arguments(
                        "invalid host",
                        encodeFrame(Envelope.newBuilder().setHello(invalidHost).build())),
                arguments("frame above the bound", encodeFrame(1L << 31, 0, new byte[0])),
                arguments("endless length", new byte[] {-1, -1, -1, -1, -1}),
                arguments("no message", encodeFrame(Envelope.getDefaultInstance())));
    }

    /** Guards against handling requests, or allocating a buffer of any announced length, for an invalid peer. */
    @ParameterizedTest(name = "{0}")
    @MethodSource("invalidOpenings")
    void invalidFirstMessageClosesTheConnection(String name, byte[] bytes) throws IOException {
        try (RawPeer peer = RawPeer.connect(transport.address())) {
            peer.write(bytes);
            assertThat(peer.awaitClosedByPeer()).as(name).isTrue();
        }
        assertThat(handledTargets).isEmpty();
    }

    /** Guards against a second execution of a non-idempotent request. */
    @Test
    void repeatedRequestFrameIsNotHandledTwice() throws Exception {
        byte[] request = encodeFrame(call("/once").toBuilder().setStream(5).build());
        try (RawPeer peer = RawPeer.connect(transport.address())) {
            peer.write(encodeFrame(RawPeer.helloEnvelope(PEER_IDENTITY)));
            peer.write(request);
            await(() -> handledTargets.size() == 1);
            peer.write(request);
            assertThat(peer.awaitClosedByPeer()).isTrue();
        }
        assertThat(handledTargets).containsExactly("/once");
    }

    /** Guards against decoding errors when TCP delivers a frame in parts. */
    @Test
    void frameReceivedByteByByteIsHandled() throws Exception {
        try (RawPeer peer = RawPeer.connect(transport.address())) {
            peer.write(encodeFrame(RawPeer.helloEnvelope(PEER_IDENTITY)));
            peer.read();
            for (byte next :
                    encodeFrame(call("/x".repeat(100)).toBuilder().setStream(1).build())) {
                peer.write(new byte[] {next});
            }
            assertThat(peer.read().getCallAnswer().getUpstream()).isEqualTo("/x".repeat(100));
        }
    }
}
