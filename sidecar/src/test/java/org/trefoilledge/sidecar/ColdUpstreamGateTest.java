package org.trefoilledge.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.trefoilledge.core.Clock;
import org.trefoilledge.core.ErrorKind;
import org.trefoilledge.core.ServiceId;
import org.trefoilledge.core.routing.ServicePolicy;
import org.trefoilledge.wire.SocketTransport;
import org.trefoilledge.wire.generated.Call;
import org.trefoilledge.wire.generated.CallAnswer;
import org.trefoilledge.wire.generated.Header;

/** Offers calls to a gate whose upstream is cold, or may be. */
class ColdUpstreamGateTest {
    private static final ServiceId ORDERS = new ServiceId("orders");
    private static final SidecarSettings.ColdRequests BOUND = new SidecarSettings.ColdRequests(1.5, 8);
    private static final double PER_SECOND = 4;
    private static final double MOST_IN_A_SECOND = PER_SECOND * BOUND.over() + BOUND.slack();
    /** Longer than any test, so that no announcement is missing. */
    private static final long ANNOUNCEMENT_INTERVAL_MILLIS = 60_000;

    private static final long RUN = 100;
    private static final int SLOTS = 30;

    private final EventLoopGroup trafficGroup = new MultiThreadIoEventLoopGroup(1, SocketTransport.ioHandlerFactory());
    private final List<CallAnswer> answers = new CopyOnWriteArrayList<>();
    private volatile String health = "HTTP/1.1 200 OK\r\nX-Upstream: i-1\r\nContent-Length: 0\r\n\r\n";
    private volatile boolean breaksConnections;
    private UpstreamStub upstream;
    private ColdStartControl coldStart;
    private UpstreamGate gate;

    @BeforeEach
    void setUp() throws IOException {
        upstream = new UpstreamStub((head, socket, out) -> {
            if (head.startsWith("GET /health ")) {
                UpstreamStub.write(out, health);
            } else if (breaksConnections) {
                socket.close();
            } else {
                UpstreamStub.write(out, UpstreamStub.response(TestFleet.requestId(head), "done"));
            }
        });
        Clock clock = Clock.system();
        UpstreamPool pool = new UpstreamPool(
                trafficGroup, upstream.address(), TestHeaders.HEADERS, BodyMemoryLimit.forHeap(), clock);
        coldStart = new ColdStartControl(
                Optional.of(BOUND),
                ANNOUNCEMENT_INTERVAL_MILLIS,
                clock,
                new HealthProbe(trafficGroup, upstream.address(), TestHeaders.HEADERS));
        gate = new UpstreamGate(
                (EventLoop) trafficGroup.next(),
                pool,
                LocalUpstream.none(ORDERS),
                new LoadMeter(ORDERS, clock),
                coldStart,
                clock,
                false);
    }

    @AfterEach
    void tearDown() throws IOException {
        upstream.close();
        trafficGroup.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).awaitUninterruptibly();
    }

    /** Guards against calls of other nodes that arrive before this node knows how many its upstream may get. */
    @Test
    void callsAreRefusedUntilTheRateIsKnown() {
        announce(RUN, 0);
        offer(1);

        assertThat(Refusals.isNotRun(answers.get(0))).isTrue();
        assertThat(upstream.requestHeads()).isEmpty();
    }

    /** Guards against a burst that breaks the bound of a cold upstream. */
    @Test
    void coldUpstreamGetsNoMoreThanItsRate() throws Exception {
        configure("");
        announce(RUN, 30_000);
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(2);
        while (System.nanoTime() < end) {
            offer(20);
            Thread.sleep(20);
        }
        Thread.sleep(200);

        assertThat((double) upstream.requestHeads().size())
                .isBetween(PER_SECOND, 2 * MOST_IN_A_SECOND)
                .isLessThan(PER_SECOND * 2.5 + 2);
        CallAnswer refused =
                answers.stream().filter(Refusals::isRefusal).findFirst().orElseThrow();
        assertThat(Refusals.isRefusal(refused, ErrorKind.OVERLOADED)).isTrue();
        assertThat(Refusals.isNotRun(refused)).isTrue();
        assertThat(refused.getRetryAfterMillis()).isBetween(1, 1_000);
        assertThat(refused.getReachedUpstream()).isFalse();
        assertThat(refused.getLimit()).isEqualTo(1);
    }

    @Test
    void warmUpstreamIsNotLimited() throws Exception {
        configure("");
        announce(RUN, 0);
        offer(SLOTS);
        awaitAnswers(SLOTS);

        assertThat(answers).extracting(CallAnswer::getStatus).containsOnly(200);
    }

    @Test
    void serviceWithoutARateIsNotLimited() throws Exception {
        runOnTrafficLoop(() -> coldStart.configure(Optional.of(new ServicePolicy(ORDERS, 6_000, 0, ""))));
        announce(RUN, 30_000);
        offer(SLOTS);
        awaitAnswers(SLOTS);

        assertThat(answers).extracting(CallAnswer::getStatus).containsOnly(200);
    }

    /** Guards against full traffic to an upstream that was restarted and has not announced itself yet. */
    @Test
    void upstreamWhoseConnectionBrokeIsLimitedUntilAProbeFindsItWarm() throws Exception {
        configure("/health");
        health = "HTTP/1.1 200 OK\r\nX-Upstream: i-1\r\nX-Cold: 20000\r\nContent-Length: 0\r\n\r\n";
        announce(RUN, 0);
        breaksConnections = true;
        offer(1);
        awaitAnswers(1);
        breaksConnections = false;
        int before = upstream.requestHeads().size();
        offer(50);
        awaitAnswers(51);
        assertThat(upstream.requestHeads().size() - before).isLessThan((int) PER_SECOND);
        awaitProbe();
        answers.clear();
        offer(50);
        awaitAnswers(50);

        assertThat(upstream.requestHeads().size() - before).isLessThan((int) MOST_IN_A_SECOND);
        assertThat(coldStart.isPublishedCold()).isTrue();
    }

    @Test
    void probeThatFindsTheUpstreamWarmEndsTheLimit() throws Exception {
        configure("/health");
        announce(RUN, 0);
        runOnTrafficLoop(() -> coldStart.suspect("test"));
        Thread.sleep(400);
        offer(1);
        awaitProbe();
        awaitUnlimited();
        answers.clear();
        offer(SLOTS);
        awaitAnswers(SLOTS);

        assertThat(answers).extracting(CallAnswer::getStatus).containsOnly(200);
        assertThat(upstream.requestHeads().stream().filter(head -> head.startsWith("GET /health ")))
                .hasSize(1);
    }

    /** Guards against a probe that is answered by another upstream on the same address. */
    @Test
    void probeAnsweredByAnotherUpstreamChangesNothing() throws Exception {
        configure("/health");
        health = "HTTP/1.1 200 OK\r\nX-Upstream: i-2\r\nContent-Length: 0\r\n\r\n";
        announce(RUN, 0);
        runOnTrafficLoop(() -> coldStart.suspect("test"));
        Thread.sleep(400);
        offer(1);
        awaitProbe();
        Thread.sleep(200);

        assertThat(isLimiting()).isTrue();
    }

    /** Guards against calls that wait in the queue and then all reach the upstream that has become cold meanwhile. */
    @Test
    void queuedCallsAboveTheRateAreRefusedWhenTheUpstreamTurnsCold() throws Exception {
        configure("");
        announce(RUN, 0);
        runOnTrafficLoop(() -> {
            gate.upstream(new LocalUpstream("i-1", ORDERS, 2, LocalUpstream.State.SERVING));
            for (int i = 0; i < 10; i++) {
                gate.offer(call("r" + i), answers::add);
            }
            coldStart.announce(heartbeat(RUN, 2, 30_000));
        });
        awaitAnswers(10);

        assertThat(answers).anyMatch(Refusals::isNotRun);
        assertThat(upstream.requestHeads().size()).isLessThan((int) PER_SECOND);
    }

    /** Guards against a busy upstream that is limited whenever it closes a connection that it does not need. */
    @Test
    void idleConnectionThatClosesWhileAnotherIsOpenIsNoReasonForDoubt() throws Exception {
        configure("");
        announce(RUN, 0);
        offer(2);
        awaitAnswers(2);
        upstream.closeOldestConnection();
        Thread.sleep(200);

        assertThat(isLimiting()).isFalse();
    }

    @Test
    void lastIdleConnectionThatClosesIsAReasonForDoubt() throws Exception {
        configure("");
        announce(RUN, 0);
        offer(1);
        awaitAnswers(1);
        assertThat(isLimiting()).isFalse();
        upstream.closeConnections();
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(2);
        while (!isLimiting() && System.nanoTime() < end) {
            Thread.sleep(5);
        }

        assertThat(isLimiting()).isTrue();
    }

    private void configure(String healthPath) {
        runOnTrafficLoop(
                () -> coldStart.configure(Optional.of(new ServicePolicy(ORDERS, 6_000, PER_SECOND, healthPath))));
    }

    private void announce(long startedMillis, long coldMillis) {
        runOnTrafficLoop(() -> {
            coldStart.announce(heartbeat(startedMillis, 1, coldMillis));
            gate.upstream(new LocalUpstream("i-1", ORDERS, SLOTS, LocalUpstream.State.SERVING));
        });
    }

    private static Announcement.Heartbeat heartbeat(long startedMillis, long sequence, long coldMillis) {
        return new Announcement.Heartbeat(
                "i-1", ORDERS, 10, false, sequence, startedMillis, OptionalLong.of(coldMillis));
    }

    private void offer(int count) {
        runOnTrafficLoop(() -> {
            for (int i = 0; i < count; i++) {
                gate.offer(call("r" + System.nanoTime()), answers::add);
            }
        });
    }

    private static Call call(String id) {
        return Call.newBuilder()
                .setService(ORDERS.value())
                .setRoute("route")
                .setMethod("GET")
                .setTarget("/x")
                .setDeadlineMillis(3_000)
                .setIdempotent(true)
                .addHeaders(Header.newBuilder().setName("X-Request").setValue(id))
                .build();
    }

    private boolean isLimiting() {
        return trafficGroup.submit(coldStart::isLimiting).syncUninterruptibly().getNow();
    }

    private void awaitUnlimited() throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
        while (isLimiting() && System.nanoTime() < end) {
            Thread.sleep(5);
        }
        assertThat(isLimiting()).isFalse();
    }

    /** Offers calls until one of them makes the gate send a probe. */
    private void awaitProbe() throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
        while (upstream.requestHeads().stream().noneMatch(head -> head.startsWith("GET /health "))
                && System.nanoTime() < end) {
            offer(1);
            Thread.sleep(20);
        }
        assertThat(upstream.requestHeads()).anyMatch(head -> head.startsWith("GET /health "));
        Thread.sleep(50);
    }

    private void runOnTrafficLoop(Runnable action) {
        trafficGroup.submit(action).syncUninterruptibly();
    }

    private void awaitAnswers(int count) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
        while (answers.size() < count && System.nanoTime() < end) {
            Thread.sleep(5);
        }
        assertThat(answers).hasSizeGreaterThanOrEqualTo(count);
    }
}
