package org.trefoilledge.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.trefoilledge.core.Clock;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.Incarnation;
import org.trefoilledge.core.ServiceId;
import org.trefoilledge.core.ZoneId;
import org.trefoilledge.core.routing.CallerLimits;
import org.trefoilledge.wire.PeerIdentity;
import org.trefoilledge.wire.SocketTransport;
import org.trefoilledge.wire.generated.Call;
import org.trefoilledge.wire.generated.Header;

/**
 * Requests whose callers have left must not reach the upstream, also if the traffic thread is so late that it finds the
 * close of a caller together with the event that lets the request proceed.
 */
class CallerLeavesTest {
    private static final ServiceId ORDERS = new ServiceId("orders");
    private static final ZoneId ZONE = new ZoneId("a");
    /** Time in which bytes and closes cross the loopback interface, and in which a late thread catches up. */
    private static final long SETTLE_MILLIS = 150;

    private final EventLoopGroup trafficGroup = new MultiThreadIoEventLoopGroup(1, SocketTransport.ioHandlerFactory());
    private final EventLoopGroup otherGroup = new MultiThreadIoEventLoopGroup(1, SocketTransport.ioHandlerFactory());
    private final CountDownLatch releaseHeldResponse = new CountDownLatch(1);
    private UpstreamStub upstream;
    private UpstreamGate gate;
    private CallerServer server;
    private InetSocketAddress address;

    @BeforeEach
    void setUp() throws IOException {
        upstream = new UpstreamStub((head, socket, out) -> {
            if (head.contains("/held ")) {
                awaitQuietly(releaseHeldResponse);
            }
            String id = head.replaceAll("(?s).*X-Request: ([^\n]*)\n.*", "$1");
            UpstreamStub.write(out, UpstreamStub.response(id, "done"));
        });
        Clock clock = Clock.system();
        UpstreamPool pool = new UpstreamPool(
                trafficGroup, upstream.address(), TestHeaders.HEADERS, BodyMemoryLimit.forHeap(), clock);
        EventLoop loop = (EventLoop) trafficGroup.next();
        gate = new UpstreamGate(loop, pool, LocalUpstream.none(ORDERS), new LoadMeter(ORDERS, clock), clock);
        runOnTrafficThread(() -> gate.upstream(new LocalUpstream("i-1", ORDERS, 1, LocalUpstream.State.SERVING)));
        server = new CallerServer(
                trafficGroup,
                (request, onAnswer) -> gate.offer(toCall(request), onAnswer),
                () -> CallerLimits.DEFAULT,
                BodyMemoryLimit.forHeap(),
                clock);
        address = FreePorts.nextAddress();
        server.listen(address);
    }

    @AfterEach
    void tearDown() throws IOException {
        releaseHeldResponse.countDown();
        server.close();
        upstream.close();
        trafficGroup.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).awaitUninterruptibly();
        otherGroup.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).awaitUninterruptibly();
    }

    @ParameterizedTest
    @ValueSource(strings = {"GET", "POST"})
    void requestThatIsReadTogetherWithItsCloseIsNotSent(String method) throws Exception {
        openUpstreamConnection();
        whileTrafficThreadIsLate(() -> {
            try (Socket caller = connect()) {
                send(caller, method, "/left");
            }
            return null;
        });

        assertNotSent("/left");
    }

    @ParameterizedTest
    @ValueSource(strings = {"GET", "POST"})
    void queuedRequestIsNotSentWhenItsSlotAndItsCloseAreReadTogether(String method) throws Exception {
        try (Socket first = connect();
                Socket second = connect()) {
            send(first, "GET", "/held");
            awaitHeads(1);
            send(second, method, "/left");
            Thread.sleep(SETTLE_MILLIS);
            whileTrafficThreadIsLate(() -> {
                releaseHeldResponse.countDown();
                Thread.sleep(SETTLE_MILLIS);
                second.close();
                return null;
            });

            assertNotSent("/left");
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"GET", "POST"})
    void forwardedCallThatIsReadTogetherWithItsCancellationIsNotSent(String method) throws Exception {
        openUpstreamConnection();
        try (PeerLinks receiver = links("receiver", trafficGroup);
                PeerLinks sender = links("sender", otherGroup)) {
            forward(sender, "GET", "/first");
            awaitHeads(2);
            whileTrafficThreadIsLate(() -> {
                Runnable cancel = forward(sender, method, "/left");
                Thread.sleep(SETTLE_MILLIS);
                cancel.run();
                return null;
            });

            assertNotSent("/left");
        }
    }

    @Test
    void slotOfARequestThatWasNotSentIsUsedAgain() throws Exception {
        openUpstreamConnection();
        whileTrafficThreadIsLate(() -> {
            try (Socket caller = connect()) {
                send(caller, "POST", "/left");
            }
            return null;
        });
        try (Socket caller = connect()) {
            send(caller, "GET", "/next");
            awaitHeads(2);
        }

        assertNotSent("/left");
    }

    private void openUpstreamConnection() throws Exception {
        try (Socket caller = connect()) {
            send(caller, "GET", "/open");
            awaitHeads(1);
            Thread.sleep(SETTLE_MILLIS);
        }
    }

    /** Holds the traffic thread up during an action, so that it then finds all events of the action at once. */
    private void whileTrafficThreadIsLate(Callable<Void> action) throws Exception {
        CountDownLatch late = new CountDownLatch(1);
        CountDownLatch blocked = new CountDownLatch(1);
        trafficGroup.execute(() -> {
            blocked.countDown();
            awaitQuietly(late);
        });
        blocked.await();
        action.call();
        Thread.sleep(SETTLE_MILLIS);
        late.countDown();
        Thread.sleep(SETTLE_MILLIS);
    }

    private void assertNotSent(String target) {
        assertThat(upstream.requestHeads()).noneMatch(head -> head.contains(target));
    }

    private void awaitHeads(int count) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
        while (upstream.requestHeads().size() < count && System.nanoTime() < end) {
            Thread.sleep(5);
        }
        assertThat(upstream.requestHeads()).hasSizeGreaterThanOrEqualTo(count);
    }

    private Socket connect() throws IOException {
        return new Socket(address.getAddress(), address.getPort());
    }

    private static void send(Socket caller, String method, String target) throws IOException {
        String head = method + " " + target + " HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n";
        caller.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
        caller.getOutputStream().flush();
    }

    private static Call toCall(CallerRequest request) {
        return call(request.method(), request.target());
    }

    private static Call call(String method, String target) {
        return Call.newBuilder()
                .setService("orders")
                .setRoute("route")
                .setMethod(method)
                .setTarget(target)
                .setDeadlineMillis(5_000)
                .setIdempotent(method.equals("GET"))
                .addHeaders(Header.newBuilder().setName("X-Request").setValue(target))
                .build();
    }

    private String receiverAddress;

    private PeerLinks links(String host, EventLoopGroup group) throws IOException {
        String listen = "127.0.0.1:" + FreePorts.nextAddress().getPort();
        receiverAddress = receiverAddress == null ? listen : receiverAddress;
        PeerRequestHandler handler = new PeerRequestHandler(gate, null, null, Runnable::run, null);
        return new PeerLinks(new PeerIdentity(new HostId(host), ZONE, new Incarnation(1)), listen, handler, group);
    }

    private Runnable forward(PeerLinks sender, String method, String target) {
        Consumer<PeerLinks.Reply> ignored = reply -> {};
        return sender.sendCall(receiverAddress, call(method, target), ignored);
    }

    private void runOnTrafficThread(Runnable action) {
        trafficGroup.submit(action).syncUninterruptibly();
    }

    private static void awaitQuietly(CountDownLatch latch) {
        try {
            latch.await(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
