package org.trefoilledge.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.trefoilledge.core.Clock;
import org.trefoilledge.core.ErrorKind;
import org.trefoilledge.core.ServiceId;
import org.trefoilledge.wire.SocketTransport;
import org.trefoilledge.wire.generated.Call;
import org.trefoilledge.wire.generated.CallAnswer;
import org.trefoilledge.wire.generated.Header;

class UpstreamGateTest {
    private static final ServiceId ORDERS = new ServiceId("orders");

    private final EventLoopGroup trafficGroup = new MultiThreadIoEventLoopGroup(1, SocketTransport.ioHandlerFactory());
    private final CountDownLatch releaseResponses = new CountDownLatch(1);
    private final CountDownLatch connectionClosed = new CountDownLatch(1);
    private final List<CallAnswer> answers = new CopyOnWriteArrayList<>();
    private UpstreamStub upstream;
    private UpstreamGate gate;
    private UpstreamGate learningGate;

    @BeforeEach
    void setUp() throws IOException {
        upstream = new UpstreamStub((head, socket, out) -> {
            try {
                releaseResponses.await(3, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
            String id = head.replaceAll("(?s).*X-Request: ([^\n]*)\n.*", "$1");
            UpstreamStub.write(out, UpstreamStub.response(id, "done"));
            if (socket.getInputStream().read() < 0) {
                connectionClosed.countDown();
            }
        });
        UpstreamPool pool = new UpstreamPool(
                trafficGroup, upstream.address(), TestHeaders.HEADERS, BodyMemoryLimit.forHeap(), Clock.system());
        LoadMeter meter = new LoadMeter(ORDERS, Clock.system());
        learningGate = new UpstreamGate(
                (EventLoop) trafficGroup.next(),
                pool,
                new LocalUpstream("i-1", ORDERS, 4, LocalUpstream.State.SERVING),
                new LoadMeter(ORDERS, Clock.system()),
                ColdStartControl.disabled(Clock.system()),
                Clock.system(),
                true);
        gate = new UpstreamGate(
                (EventLoop) trafficGroup.next(), pool, LocalUpstream.none(ORDERS), meter, Clock.system());
    }

    @AfterEach
    void tearDown() throws IOException {
        releaseResponses.countDown();
        upstream.close();
        trafficGroup.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).awaitUninterruptibly();
    }

    @Test
    void refusesCallsBeforeUpstreamIsAnnounced() {
        offer("r1", "orders");

        assertThat(Refusals.isRefusal(answers.get(0), ErrorKind.NO_UPSTREAM)).isTrue();
        assertThat(upstream.requestHeads()).isEmpty();
    }

    @Test
    void refusesCallForOtherServiceAsNotRun() {
        announceServing(1);
        offer("r1", "tracking");

        assertThat(Refusals.isNotRun(answers.get(0))).isTrue();
        assertThat(upstream.requestHeads()).isEmpty();
    }

    @Test
    void runsAtMostOneCallPerSlot() throws Exception {
        announceServing(2);
        offer("r1", "orders");
        offer("r2", "orders");
        offer("r3", "orders");
        awaitRequests(2);
        Thread.sleep(100);

        assertThat(upstream.requestHeads()).hasSize(2);
        releaseResponses.countDown();
        awaitAnswers(2);
    }

    @Test
    void drainingRefusesQueuedCallsAndLetsRunningOnesFinish() throws Exception {
        announceServing(1);
        offer("r1", "orders");
        offer("r2", "orders");
        awaitRequests(1);
        runOnTrafficLoop(() -> gate.upstream(new LocalUpstream("i-1", ORDERS, 1, LocalUpstream.State.DRAINING)));

        assertThat(Refusals.isRefusal(answers.get(0), ErrorKind.DRAINING)).isTrue();
        releaseResponses.countDown();
        awaitAnswers(2);
        assertThat(answers.get(1).getStatus()).isEqualTo(200);
        assertThat(upstream.requestHeads()).hasSize(1);
    }

    @Test
    void closedGateRefusesQueuedCallsAndLetsRunningOnesFinish() throws Exception {
        announceServing(1);
        offer("r1", "orders");
        offer("r2", "orders");
        awaitRequests(1);
        runOnTrafficLoop(() -> gate.close("the zone is evacuated"));
        offer("r3", "orders");

        assertThat(answers).hasSize(2).allMatch(Refusals::isNotRun);
        releaseResponses.countDown();
        awaitAnswers(3);
        assertThat(answers.get(2).getStatus()).isEqualTo(200);
        assertThat(upstream.requestHeads()).hasSize(1);
    }

    /** Guards against calls that wait for a connection while the gate closes, and reach the upstream afterwards. */
    @Test
    void callThatWaitsForAConnectionIsNotSentWhenTheGateCloses() throws Exception {
        announceServing(1);
        runOnTrafficLoop(() -> {
            gate.offer(call("r1", "orders", "route", 3_000), answers::add);
            gate.close("the zone is evacuated");
        });
        awaitAnswers(1);

        assertThat(Refusals.isNotRun(answers.get(0))).isTrue();
        assertThat(upstream.requestHeads()).isEmpty();
    }

    @Test
    void openedGateAcceptsCalls() throws Exception {
        announceServing(1);
        runOnTrafficLoop(() -> gate.close("the zone is evacuated"));
        runOnTrafficLoop(gate::open);
        releaseResponses.countDown();
        offer("r1", "orders");
        awaitAnswers(1);

        assertThat(answers.get(0).getStatus()).isEqualTo(200);
    }

    /** Guards against important calls with little time that are refused because a slower route shares the upstream. */
    @Test
    void callIsNotRefusedForTheServiceTimeOfAnotherRoute() throws Exception {
        announceServing(2);
        offer("r1", "orders");
        awaitRequests(1);
        Thread.sleep(300);
        releaseResponses.countDown();
        awaitAnswers(1);
        runOnTrafficLoop(() -> {
            gate.offer(call("r2", "orders", "route", 3_000), answers::add);
            gate.offer(call("r3", "orders", "short-route", 200), answers::add);
        });
        awaitAnswers(3);

        assertThat(answers).extracting(CallAnswer::getStatus).containsOnly(200);
    }

    @Test
    void cancellingIdempotentCallClosesItsConnection() throws Exception {
        announceServing(1);
        Runnable cancel = offer("r1", "orders");
        awaitRequests(1);
        runOnTrafficLoop(cancel);
        releaseResponses.countDown();

        assertThat(connectionClosed.await(1, TimeUnit.SECONDS)).isTrue();
        assertThat(answers).isEmpty();
    }

    /** Guards against senders that cannot tell fast upstreams from slow ones. */
    @Test
    void answersCarryTheServiceTimeOfTheirRouteIfItIsLearned() throws Exception {
        for (int i = 1; i <= 4; i++) {
            int number = i;
            runOnTrafficLoop(() -> learningGate.offer(call("r" + number, "orders", "route", 3_000), answers::add));
        }
        awaitRequests(4);
        Thread.sleep(100);
        releaseResponses.countDown();
        awaitAnswers(4);

        assertThat(answers.get(0).getServiceTimeMillis()).isZero();
        assertThat(answers.get(3).getServiceTimeMillis()).isBetween(90, 2_000);
        assertThat(answers).extracting(CallAnswer::getLimit).containsOnly(4);
        runOnTrafficLoop(() -> learningGate.sampleLoad());
        assertThat(learningGate.learnedLimit().limit()).isEqualTo(4);
        assertThat(learningGate.learnedLimit().slots()).isEqualTo(4);
    }

    @Test
    void answersCarryNoServiceTimeIfItIsNotLearned() throws Exception {
        announceServing(4);
        releaseResponses.countDown();
        for (int i = 1; i <= 4; i++) {
            offer("r" + i, "orders");
        }
        awaitAnswers(4);

        assertThat(answers).extracting(CallAnswer::getServiceTimeMillis).containsOnly(0);
        assertThat(gate.learnedLimit()).isNull();
    }

    private void announceServing(int slots) {
        runOnTrafficLoop(() -> gate.upstream(new LocalUpstream("i-1", ORDERS, slots, LocalUpstream.State.SERVING)));
    }

    private static Call call(String id, String service, String route, int deadlineMillis) {
        return Call.newBuilder()
                .setService(service)
                .setRoute(route)
                .setMethod("GET")
                .setTarget("/x")
                .setDeadlineMillis(deadlineMillis)
                .setIdempotent(true)
                .addHeaders(Header.newBuilder().setName("X-Request").setValue(id))
                .build();
    }

    private Runnable offer(String id, String service) {
        Call call = call(id, service, "route", 3_000);
        return trafficGroup
                .submit(() -> gate.offer(call, answers::add))
                .syncUninterruptibly()
                .getNow();
    }

    private void runOnTrafficLoop(Runnable action) {
        trafficGroup.submit(action).syncUninterruptibly();
    }

    private void awaitRequests(int count) throws InterruptedException {
        awaitSize(upstream.requestHeads(), count);
    }

    private void awaitAnswers(int count) throws InterruptedException {
        awaitSize(answers, count);
    }

    private static void awaitSize(List<?> list, int count) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
        while (list.size() < count && System.nanoTime() < end) {
            Thread.sleep(5);
        }
        assertThat(list).hasSizeGreaterThanOrEqualTo(count);
    }
}
