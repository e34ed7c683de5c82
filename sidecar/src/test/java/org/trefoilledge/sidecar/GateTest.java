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

class GateTest {
    private static final ServiceId ORDERS = new ServiceId("orders");

    private final EventLoopGroup traffic = new MultiThreadIoEventLoopGroup(1, SocketTransport.ioHandler());
    private final CountDownLatch release = new CountDownLatch(1);
    private final CountDownLatch closed = new CountDownLatch(1);
    private final List<CallAnswer> answers = new CopyOnWriteArrayList<>();
    private UpstreamStub upstream;
    private Gate gate;

    @BeforeEach
    void open() throws IOException {
        upstream = new UpstreamStub((head, socket, out) -> {
            try {
                release.await(3, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
            String id = head.replaceAll("(?s).*X-Request: ([^\n]*)\n.*", "$1");
            UpstreamStub.write(out, UpstreamStub.answer(id, "done"));
            if (socket.getInputStream().read() < 0) {
                closed.countDown();
            }
        });
        UpstreamPool pool =
                new UpstreamPool(traffic, upstream.address(), TestNames.NAMES, BodyRoom.ofHeap(), Clock.system());
        LoadMeter meter = new LoadMeter(ORDERS, Clock.system());
        gate = new Gate((EventLoop) traffic.next(), pool, LocalUpstream.none(ORDERS), meter, Clock.system());
    }

    @AfterEach
    void close() throws IOException {
        release.countDown();
        upstream.close();
        traffic.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).awaitUninterruptibly();
    }

    @Test
    void nothingRunsBeforeTheUpstreamHasAnnouncedItself() {
        offer("r1", "orders");

        assertThat(Refusals.is(answers.get(0), ErrorKind.NO_UPSTREAM)).isTrue();
        assertThat(upstream.heads()).isEmpty();
    }

    @Test
    void aCallForAnotherServiceIsRefusedAsNotRun() {
        serving(1);
        offer("r1", "tracking");

        assertThat(Refusals.notRun(answers.get(0))).isTrue();
        assertThat(upstream.heads()).isEmpty();
    }

    @Test
    void asManyCallsRunAsTheUpstreamHasSlots() throws Exception {
        serving(2);
        offer("r1", "orders");
        offer("r2", "orders");
        offer("r3", "orders");
        awaitHeads(2);
        Thread.sleep(100);

        assertThat(upstream.heads()).hasSize(2);
        release.countDown();
        awaitAnswers(2);
    }

    @Test
    void queuedCallsOfALeavingUpstreamAreRefusedAsNotRunAndRunningOnesEnd() throws Exception {
        serving(1);
        offer("r1", "orders");
        offer("r2", "orders");
        awaitHeads(1);
        onTraffic(() -> gate.upstream(new LocalUpstream("i-1", ORDERS, 1, LocalUpstream.State.DRAINING)));

        assertThat(Refusals.is(answers.get(0), ErrorKind.DRAINING)).isTrue();
        release.countDown();
        awaitAnswers(2);
        assertThat(answers.get(1).getStatus()).isEqualTo(200);
        assertThat(upstream.heads()).hasSize(1);
    }

    @Test
    void aCancelledIdempotentCallClosesItsConnection() throws Exception {
        serving(1);
        Runnable cancel = offer("r1", "orders");
        awaitHeads(1);
        onTraffic(cancel);
        release.countDown();

        assertThat(closed.await(1, TimeUnit.SECONDS)).isTrue();
        assertThat(answers).isEmpty();
    }

    private void serving(int slots) {
        onTraffic(() -> gate.upstream(new LocalUpstream("i-1", ORDERS, slots, LocalUpstream.State.SERVING)));
    }

    private Runnable offer(String id, String service) {
        Call call = Call.newBuilder()
                .setService(service)
                .setRoute("route")
                .setMethod("GET")
                .setTarget("/x")
                .setDeadlineMillis(3_000)
                .setIdempotent(true)
                .addHeaders(Header.newBuilder().setName("X-Request").setValue(id))
                .build();
        return traffic.submit(() -> gate.offer(call, answers::add))
                .syncUninterruptibly()
                .getNow();
    }

    private void onTraffic(Runnable action) {
        traffic.submit(action).syncUninterruptibly();
    }

    private void awaitHeads(int count) throws InterruptedException {
        await(upstream.heads(), count);
    }

    private void awaitAnswers(int count) throws InterruptedException {
        await(answers, count);
    }

    private static void await(List<?> list, int count) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
        while (list.size() < count && System.nanoTime() < end) {
            Thread.sleep(5);
        }
        assertThat(list).hasSizeGreaterThanOrEqualTo(count);
    }
}
