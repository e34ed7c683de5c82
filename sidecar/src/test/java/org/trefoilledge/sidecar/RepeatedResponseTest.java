package org.trefoilledge.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.trefoilledge.core.Clock;
import org.trefoilledge.core.ErrorKind;
import org.trefoilledge.wire.SocketTransport;
import org.trefoilledge.wire.generated.Call;
import org.trefoilledge.wire.generated.CallAnswer;
import org.trefoilledge.wire.generated.Header;

/**
 * Guards against an upstream that sends a response again, cut at any byte: the bytes must not become a part of the answer to
 * the next request, whose status and statement on execution would then be those of the earlier one.
 */
class RepeatedResponseTest {
    private static final String FIRST = "request-1";
    private static final String SECOND = "request-2";
    private static final String ID = "X-Request: ";
    private static final String SIGNATURE = "X-Signature: s\r\n";
    private static final String NOT_RUN = "X-Not-Run: 1\r\n";

    /** Responses to the first request. Their headers come in different orders, and their bodies end differently. */
    private static final List<String> EARLIER = List.of(
            head("503 Unavailable", NOT_RUN + ID + FIRST + "\r\nContent-Length: 0\r\n"),
            head("503 Unavailable", "Content-Length: 0\r\n" + ID + FIRST + "\r\n" + NOT_RUN),
            head("503 Unavailable", NOT_RUN + "Via: HHTTP/HTTP/1.\r\n" + ID + FIRST + "\r\nContent-Length: 0\r\n"),
            head("200 OK", ID + FIRST + "\r\n" + SIGNATURE + "Content-Length: 12\r\n") + "first answer",
            head("200 OK", SIGNATURE + "Content-Length: 400\r\n" + ID + FIRST + "\r\n") + "z".repeat(400),
            head("500 Error", ID + FIRST + "\r\nContent-Length: 5\r\n") + "sorry",
            head("200", ID + FIRST + "\r\n" + SIGNATURE + "Transfer-Encoding: chunked\r\n")
                    + "5\r\nfirst\r\n7;e=f\r\n answer\r\n0\r\nX-Trailer: end\r\n\r\n",
            head("200 OK", "Transfer-Encoding: chunked\r\n" + ID + FIRST + "\r\n" + SIGNATURE) + "190\r\n"
                    + "z".repeat(400) + "\r\n0\r\n\r\n");

    private static final List<String> NEXT = List.of(
            head("200 OK", ID + SECOND + "\r\n" + SIGNATURE + "Content-Length: 13\r\n") + "second answer",
            head("500 Error", "Content-Length: 5\r\n" + ID + SECOND + "\r\n") + "sorry",
            head("200 OK", "Transfer-Encoding: chunked\r\n" + SIGNATURE + ID + SECOND + "\r\n")
                    + "6\r\nsecond\r\n0\r\n\r\n",
            head("503 Unavailable", ID + SECOND + "\r\n" + NOT_RUN + "Content-Length: 0\r\n"));

    private final BodyMemoryLimit bodyMemory = new BodyMemoryLimit(1024 * 1024);
    private final EventLoopGroup trafficGroup = new MultiThreadIoEventLoopGroup(1, SocketTransport.ioHandlerFactory());

    /** When the bytes of the repeated response arrive. */
    private enum Moment {
        BEHIND_FIRST_RESPONSE,
        BETWEEN_REQUESTS,
        BETWEEN_REQUESTS_IN_PIECES,
        /** The first bytes arrive before the second request is sent, the others after it. */
        AROUND_SECOND_REQUEST,
        /** In one read with the second response, after the second request was sent. */
        WITH_SECOND_RESPONSE,
        BEFORE_SECOND_RESPONSE,
        BEFORE_SECOND_RESPONSE_IN_PIECES
    }

    private static String head(String status, String headers) {
        return "HTTP/1.1 " + status + "\r\n" + headers + "\r\n";
    }

    @AfterEach
    void tearDown() {
        trafficGroup.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).awaitUninterruptibly();
    }

    /** The bytes are seen before the second request is sent, so that it is sent on another connection. */
    @ParameterizedTest
    @EnumSource(
            mode = EnumSource.Mode.INCLUDE,
            names = {"BEHIND_FIRST_RESPONSE", "BETWEEN_REQUESTS", "BETWEEN_REQUESTS_IN_PIECES", "AROUND_SECOND_REQUEST"
            })
    void connectionIsReplacedWhereverTheRepeatedResponseIsCut(Moment moment) throws Exception {
        for (String earlier : EARLIER) {
            for (int length = 1; length <= earlier.length(); length += step(earlier, length)) {
                String next = NEXT.get(length % NEXT.size());
                Outcome outcome = outcome(moment, earlier, length, next);

                assertThat(outcome.answer()).as(outcome.description()).isEqualTo(answerOnNewConnection(next));
                assertThat(outcome.connectionsOpened())
                        .as(outcome.description())
                        .isEqualTo(2);
            }
        }
    }

    /** Guards against an answer with the status of an earlier one, or the statement that its request has not run. */
    @ParameterizedTest
    @EnumSource(
            mode = EnumSource.Mode.INCLUDE,
            names = {"WITH_SECOND_RESPONSE", "BEFORE_SECOND_RESPONSE", "BEFORE_SECOND_RESPONSE_IN_PIECES"})
    void answerIsItsOwnOrLostWhereverTheRepeatedHeadIsCut(Moment moment) throws Exception {
        for (String earlier : EARLIER) {
            for (int length = 1; length < headLength(earlier); length++) {
                assertAnsweredOrLost(moment, earlier, length, NEXT.get(length % NEXT.size()));
            }
        }
    }

    @Test
    void answerIsItsOwnOrLostWhicheverResponseFollowsTheRepeatedHead() throws Exception {
        for (String earlier : EARLIER) {
            for (String next : NEXT) {
                for (int length = 1; length < headLength(earlier); length++) {
                    assertAnsweredOrLost(Moment.WITH_SECOND_RESPONSE, earlier, length, next);
                }
            }
        }
    }

    /** Guards against a caller that waits for its deadline, because its answer was read as a part of the earlier body. */
    @Test
    void answerIsItsOwnOrLostAtOnceWhereverTheRepeatedBodyIsCut() throws Exception {
        for (String earlier : EARLIER) {
            for (String next : NEXT) {
                for (int length = headLength(earlier); length <= earlier.length(); length += step(earlier, length)) {
                    assertAnsweredOrLost(Moment.WITH_SECOND_RESPONSE, earlier, length, next);
                    assertAnsweredOrLost(Moment.BEFORE_SECOND_RESPONSE_IN_PIECES, earlier, length, next);
                }
            }
        }
    }

    private static int headLength(String response) {
        return response.indexOf("\r\n\r\n") + 4;
    }

    /** Skips the inner part of a long body, in which each cut has the same effect. */
    private static int step(String response, int length) {
        boolean insideBody = response.charAt(length - 1) == 'z' && length + 40 < response.length();
        return insideBody ? 37 : 1;
    }

    /** The answer to the second request, and what it took to get it. */
    private record Outcome(CallAnswer answer, long connectionsOpened, String description) {}

    private void assertAnsweredOrLost(Moment moment, String earlier, int length, String next) throws Exception {
        Outcome outcome = outcome(moment, earlier, length, next);
        CallAnswer expected = answerOnNewConnection(next);

        boolean lost = Refusals.isRefusal(outcome.answer(), ErrorKind.UPSTREAM_FAILED);
        if (!lost || length == earlier.length()) {
            assertThat(outcome.answer()).as(outcome.description()).isEqualTo(expected);
        }
        assertThat(outcome.connectionsOpened()).as(outcome.description()).isEqualTo(1);
    }

    /** Sends two requests; the upstream repeats the first bytes of its first response. */
    private Outcome outcome(Moment moment, String earlier, int length, String next) throws Exception {
        String copy = earlier.substring(0, length);
        String description = "%s, cut after %d of: %s".formatted(moment, length, earlier);
        try (UpstreamStub upstream = new UpstreamStub((head, socket, out) -> {
            if (head.contains(FIRST)) {
                UpstreamStub.write(out, moment == Moment.BEHIND_FIRST_RESPONSE ? earlier + copy : earlier);
            } else {
                writeSecond(moment, copy, next, out);
            }
        })) {
            UpstreamPool pool = newPool(upstream);
            call(pool, FIRST);
            CompletableFuture<CallAnswer> second = startSecond(moment, upstream, pool, copy);
            assertThat(second).as(description).succeedsWithin(Duration.ofSeconds(5));
            assertThat(trafficGroup.submit(bodyMemory::reservedBytes).get())
                    .as(description)
                    .isZero();
            return new Outcome(second.join(), pool.connectionsOpened(), description);
        }
    }

    private CallAnswer answerOnNewConnection(String response) throws Exception {
        try (UpstreamStub upstream = new UpstreamStub((head, socket, out) -> UpstreamStub.write(out, response))) {
            return call(newPool(upstream), SECOND);
        }
    }

    private CompletableFuture<CallAnswer> startSecond(
            Moment moment, UpstreamStub upstream, UpstreamPool pool, String copy) {
        int half = copy.length() / 2;
        switch (moment) {
            case BETWEEN_REQUESTS -> upstream.writeToOldestConnection(copy);
            case BETWEEN_REQUESTS_IN_PIECES -> {
                upstream.writeToOldestConnection(copy.substring(0, half));
                pause();
                upstream.writeToOldestConnection(copy.substring(half));
            }
            case AROUND_SECOND_REQUEST -> {
                upstream.writeToOldestConnection(copy.substring(0, half + 1));
                CompletableFuture<CallAnswer> answer = start(pool, SECOND);
                upstream.writeToOldestConnection(copy.substring(half + 1));
                return answer;
            }
            default -> {}
        }
        return start(pool, SECOND);
    }

    private static void writeSecond(Moment moment, String copy, String next, OutputStream out) throws IOException {
        int half = copy.length() / 2;
        switch (moment) {
            case WITH_SECOND_RESPONSE -> UpstreamStub.write(out, copy + next);
            case BEFORE_SECOND_RESPONSE -> {
                UpstreamStub.write(out, copy);
                pause();
                UpstreamStub.write(out, next);
            }
            case BEFORE_SECOND_RESPONSE_IN_PIECES -> {
                UpstreamStub.write(out, copy.substring(0, half));
                pause();
                UpstreamStub.write(out, copy.substring(half) + next.substring(0, 5));
                pause();
                UpstreamStub.write(out, next.substring(5));
            }
            default -> UpstreamStub.write(out, next);
        }
    }

    /** Responses of an upstream without a fault, which must neither fail nor cost a connection. */
    static Stream<String> soundResponses() {
        return Stream.of(
                head("200 OK", ID + SECOND + "\r\nX-Probed: HTTP/1.1 200 OK\r\n" + SIGNATURE + "Content-Length: 2\r\n")
                        + "ok",
                head("200 OK", "Via: HTTP/1.1 proxy\r\n" + ID + SECOND + "\r\n" + SIGNATURE + "Content-Length: 2\r\n")
                        + "ok",
                head("200 OK", ID + SECOND + "\r\n" + SIGNATURE + "Content-Length: 34\r\n") + "HTTP/1.1 503 X\r\n" + ID
                        + "request",
                head("200 OK", ID + SECOND + "\r\n" + SIGNATURE + "Content-Length: 2\r\n") + "ok\r\n",
                head("102 Processing", "") + head("200 OK", ID + SECOND + "\r\n" + SIGNATURE + "Content-Length: 0\r\n"),
                head("200 OK", ID + SECOND + "\r\n" + SIGNATURE + "Transfer-Encoding: chunked\r\n")
                        + "2\r\nok\r\n0\r\nX-Trailer: end\r\n\r\n");
    }

    @ParameterizedTest
    @MethodSource("soundResponses")
    void responseOfASoundUpstreamKeepsItsConnection(String response) throws Exception {
        try (UpstreamStub upstream = new UpstreamStub((head, socket, out) -> {
            for (int i = 0; i < response.length(); i++) {
                UpstreamStub.write(out, response.substring(i, i + 1));
            }
        })) {
            UpstreamPool pool = newPool(upstream);
            CallAnswer expected = call(pool, SECOND);
            assertThat(expected.getStatus()).isEqualTo(200);
            for (int i = 0; i < 20; i++) {
                assertThat(call(pool, SECOND)).isEqualTo(expected);
            }

            assertThat(pool.connectionsOpened()).isEqualTo(1);
            assertThat(pool.unexpectedBytes()).isZero();
        }
    }

    @Test
    void connectionsClosedForUnexpectedBytesAreCounted() throws Exception {
        try (UpstreamStub upstream = new UpstreamStub(
                (head, socket, out) -> UpstreamStub.write(out, UpstreamStub.response(FIRST, "body")))) {
            UpstreamPool pool = newPool(upstream);
            call(pool, FIRST);
            upstream.writeToOldestConnection("H");
            call(pool, FIRST);

            assertThat(pool.unexpectedBytes()).isEqualTo(1);
        }
    }

    /** The request was not sent, so that another host can execute it, even if it is not idempotent. */
    @Test
    void bytesOnANewConnectionBeforeTheRequestLeaveItNotRun() throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            UpstreamPool pool = newPool((InetSocketAddress) listener.getLocalSocketAddress());
            CountDownLatch written = new CountDownLatch(1);
            trafficGroup.execute(() -> holdTrafficThreadWhileConnecting(pool, written));
            CompletableFuture<CallAnswer> answer = start(pool, FIRST);
            try (Socket socket = listener.accept()) {
                UpstreamStub.write(socket.getOutputStream(), "HTTP/1.1 5");
                written.countDown();

                assertThat(Refusals.isNotRun(answer.get(5, TimeUnit.SECONDS))).isTrue();
            }
        }
    }

    /** Makes each turn of the traffic thread so long that the upstream's bytes arrive before the request is sent. */
    private void holdTrafficThreadWhileConnecting(UpstreamPool pool, CountDownLatch written) {
        try {
            boolean connecting = pool.connectionsOpened() > 0;
            if (!connecting || !written.await(300, TimeUnit.MILLISECONDS)) {
                trafficGroup.execute(() -> holdTrafficThreadWhileConnecting(pool, written));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private UpstreamPool newPool(UpstreamStub upstream) {
        return newPool(upstream.address());
    }

    private UpstreamPool newPool(InetSocketAddress address) {
        return new UpstreamPool(trafficGroup, address, TestHeaders.HEADERS, bodyMemory, Clock.system());
    }

    private CallAnswer call(UpstreamPool pool, String id) throws Exception {
        return start(pool, id).get(5, TimeUnit.SECONDS);
    }

    private CompletableFuture<CallAnswer> start(UpstreamPool pool, String id) {
        Call call = Call.newBuilder()
                .setMethod("POST")
                .setTarget("/x")
                .addHeaders(Header.newBuilder().setName("X-Request").setValue(id))
                .build();
        var request =
                new UpstreamPool.UpstreamRequest(call, "i-1", Clock.system().millis() + 3_000);
        CompletableFuture<CallAnswer> answer = new CompletableFuture<>();
        trafficGroup.execute(() -> pool.execute(request, answer::complete));
        return answer;
    }

    private static void pause() {
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(1));
    }
}
