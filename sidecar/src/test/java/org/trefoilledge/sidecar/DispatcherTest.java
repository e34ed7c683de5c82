package org.trefoilledge.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.trefoilledge.core.Clock;
import org.trefoilledge.core.ErrorKind;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.Incarnation;
import org.trefoilledge.core.ServiceId;
import org.trefoilledge.core.ZoneId;
import org.trefoilledge.core.placement.Candidate;
import org.trefoilledge.core.placement.PlacementSettings;
import org.trefoilledge.core.placement.Placer;
import org.trefoilledge.core.rate.TokenGrant;
import org.trefoilledge.wire.PeerIdentity;
import org.trefoilledge.wire.SocketTransport;
import org.trefoilledge.wire.generated.Call;
import org.trefoilledge.wire.generated.CallAnswer;
import org.trefoilledge.wire.generated.ConfigDocument;
import org.trefoilledge.wire.generated.StatusAnswer;
import org.trefoilledge.wire.generated.StatusReport;
import org.trefoilledge.wire.generated.ZoneAnswer;
import org.trefoilledge.wire.generated.ZoneReport;

/** Tests the dispatcher with two other nodes on the loopback interface, whose answers the tests set. */
class DispatcherTest {
    private static final ZoneId ZONE = new ZoneId("a");
    private static final ServiceId ORDERS = new ServiceId("orders");
    private static final HostId SELF = new HostId("self");

    private final EventLoopGroup trafficGroup = new MultiThreadIoEventLoopGroup(1, SocketTransport.ioHandlerFactory());
    private final List<PeerNode> nodes = new ArrayList<>();
    private final CountDownLatch cancelled = new CountDownLatch(1);
    private Placer placer;
    private Dispatcher dispatcher;

    /** A node that records its calls and gives them a preset answer, or none if it is null. */
    private final class PeerNode implements PeerLinks.Handler, AutoCloseable {
        private final Candidate candidate;
        private final PeerLinks links;
        private final List<Call> calls = new CopyOnWriteArrayList<>();
        private volatile CallAnswer answer;

        PeerNode(String host) throws IOException {
            String address = "127.0.0.1:" + FreePorts.nextAddress().getPort();
            candidate = new Candidate(new HostId(host), ZONE, ORDERS, address, new Incarnation(1), 10);
            links = new PeerLinks(
                    new PeerIdentity(candidate.host(), ZONE, new Incarnation(1)), address, this, trafficGroup);
        }

        @Override
        public Runnable handleCall(Call call, Consumer<CallAnswer> onAnswer) {
            calls.add(call);
            if (answer != null) {
                onAnswer.accept(answer);
            }
            return cancelled::countDown;
        }

        @Override
        public void handleReport(PeerIdentity from, StatusReport report, Consumer<StatusAnswer> onAnswer) {
            onAnswer.accept(StatusAnswer.getDefaultInstance());
        }

        @Override
        public void handleZoneReport(PeerIdentity from, ZoneReport report, Consumer<ZoneAnswer> onAnswer) {
            onAnswer.accept(ZoneAnswer.getDefaultInstance());
        }

        @Override
        public Optional<TokenGrant> grantTokens(TokenSource.Request question) {
            return Optional.empty();
        }

        @Override
        public ConfigDocument config() {
            return ConfigDocument.getDefaultInstance();
        }

        @Override
        public void close() {
            links.close();
        }
    }

    @BeforeEach
    void start() throws IOException {
        PeerNode self = new PeerNode("self");
        nodes.add(new PeerNode("first"));
        nodes.add(new PeerNode("second"));
        nodes.add(self);
        placer = new Placer(SELF, ZONE, PlacementSettings.defaults(SELF));
        placer.updateCandidates(List.of(nodes.get(0).candidate, nodes.get(1).candidate));
        dispatcher = createDispatcher(self.links, Clock.system());
    }

    private Dispatcher createDispatcher(PeerLinks links, Clock clock) {
        return createDispatcher(links, clock, false);
    }

    private Dispatcher createDispatcher(PeerLinks links, Clock clock, boolean treeAdmission) {
        UpstreamPool pool = new UpstreamPool(
                trafficGroup,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 1),
                TestHeaders.HEADERS,
                BodyMemoryLimit.forHeap(),
                clock);
        EventLoop loop = (EventLoop) trafficGroup.next();
        UpstreamGate gate =
                new UpstreamGate(loop, pool, LocalUpstream.none(ORDERS), new LoadMeter(ORDERS, clock), clock);
        Dispatcher created = new Dispatcher(
                SELF,
                gate,
                links,
                placer,
                loop,
                clock,
                new DecisionLog(clock),
                new SidecarMetrics(),
                RandomGenerator.getDefault(),
                treeAdmission);
        created.setRetryBudget(0.2, 10);
        return created;
    }

    @AfterEach
    void tearDown() {
        nodes.forEach(PeerNode::close);
        trafficGroup.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).awaitUninterruptibly();
    }

    @Test
    void returnsUpstreamAnswer() throws Exception {
        setAnswers(ok(), ok());

        assertThat(dispatch(false, 2).getStatus()).isEqualTo(200);
        assertThat(totalCalls()).isEqualTo(1);
    }

    @Test
    void retriesOnAnotherHostWhenRequestHasNotRun() throws Exception {
        CallAnswer draining = Refusals.refusal(ErrorKind.DRAINING, "leaving");
        setAnswers(draining, draining);
        CallAnswer answer = dispatch(false, 2);

        assertThat(totalCalls()).isEqualTo(2);
        assertThat(Refusals.isNotRun(answer)).isTrue();
    }

    /** Guards against callers that retry at once while the rates of all upstreams, which are cold, are used up. */
    @Test
    void requestThatOnlyColdUpstreamsRefusedTellsWhenTheyAcceptMore() throws Exception {
        setAnswers(
                Refusals.refusal(ErrorKind.OVERLOADED, 300, "the upstream is cold"),
                Refusals.refusal(ErrorKind.OVERLOADED, 200, "the upstream is cold"));
        CallAnswer answer = dispatch(false, 1);

        assertThat(totalCalls()).isEqualTo(2);
        assertThat(Refusals.isNotRun(answer)).isTrue();
        assertThat(answer.getRetryAfterMillis()).isEqualTo(300);
    }

    @Test
    void doesNotRetryNonIdempotentRequestThatMayHaveRun() throws Exception {
        CallAnswer lost = Refusals.refusal(ErrorKind.UPSTREAM_FAILED, "connection reset");
        setAnswers(lost, lost);
        CallAnswer answer = dispatch(false, 2);

        assertThat(totalCalls()).isEqualTo(1);
        assertThat(Refusals.isNotRun(answer)).isFalse();
    }

    @Test
    void retriesIdempotentRequestUpToMaxAttempts() throws Exception {
        CallAnswer lost = Refusals.refusal(ErrorKind.UPSTREAM_FAILED, "connection reset");
        setAnswers(lost, lost);
        assertThat(Refusals.isNotRun(dispatch(true, 2))).isFalse();
        assertThat(totalCalls()).isEqualTo(2);
    }

    @Test
    void doesNotRetryWhenMaxAttemptsIsOne() throws Exception {
        CallAnswer lost = Refusals.refusal(ErrorKind.UPSTREAM_FAILED, "connection reset");
        setAnswers(lost, lost);
        dispatch(true, 1);

        assertThat(totalCalls()).isEqualTo(1);
    }

    @Test
    void doesNotRetryFailureOfExecutionThatMakesCalls() throws Exception {
        CallAnswer failed =
                CallAnswer.newBuilder().setStatus(500).setMakesCalls(true).build();
        setAnswers(failed, failed);

        assertThat(dispatch(true, 2).getStatus()).isEqualTo(500);
        assertThat(totalCalls()).isEqualTo(1);
    }

    /** A rejected call has not been executed; giving it up after two rejections fails the whole call tree. */
    @Test
    void treeAdmissionRetriesRejectedRequestsBeyondMaxAttempts() throws Exception {
        dispatcher = createDispatcher(nodes.get(2).links, Clock.system(), true);
        CallAnswer rejected = Refusals.refusal(ErrorKind.OVERLOADED, "rejected").toBuilder()
                .setReachedUpstream(true)
                .build();
        setAnswers(rejected, rejected);
        CallAnswer answer = dispatch(false, 1);

        assertThat(totalCalls()).isEqualTo(2);
        assertThat(Refusals.isNotRun(answer)).isTrue();
    }

    @Test
    void rejectedRequestsCountAsAttemptsWithoutTreeAdmission() throws Exception {
        CallAnswer rejected = Refusals.refusal(ErrorKind.OVERLOADED, "rejected").toBuilder()
                .setReachedUpstream(true)
                .build();
        setAnswers(rejected, rejected);
        dispatch(false, 1);

        assertThat(totalCalls()).isEqualTo(1);
    }

    @Test
    void stopsRetryingWhenRetryBudgetIsSpent() throws Exception {
        runOnTrafficLoop(() -> dispatcher.setRetryBudget(0, 1));
        CallAnswer lost = Refusals.refusal(ErrorKind.UPSTREAM_FAILED, "connection reset");
        setAnswers(lost, lost);
        dispatch(true, 2);
        dispatch(true, 2);

        assertThat(totalCalls()).isEqualTo(3);
    }

    @Test
    void refusesAsNotRunWhenNoHostCanBeReached() throws Exception {
        nodes.get(0).close();
        nodes.get(1).close();
        CallAnswer answer = dispatch(false, 2);

        assertThat(Refusals.isNotRun(answer)).isTrue();
    }

    @Test
    void unansweredRequestTimesOutAndIsCancelled() throws Exception {
        CompletableFuture<CallAnswer> answer = start(request(true, 2, 300));

        assertThat(answer.get(2, TimeUnit.SECONDS).getStatus()).isEqualTo(504);
        assertThat(Refusals.isNotRun(answer.get())).isFalse();
        assertThat(cancelled.await(1, TimeUnit.SECONDS)).isTrue();
    }

    /** The clock advances by 50 ms per reading, so less time seems to be left to the second attempt than there is. */
    @Test
    void retriedRequestTimesOutAtItsDeadline() throws Exception {
        AtomicLong readings = new AtomicLong();
        PeerNode self = nodes.get(2);
        dispatcher = createDispatcher(self.links, () -> Clock.system().millis() + 50 * readings.getAndIncrement());
        setAnswers(null, Refusals.refusal(ErrorKind.DRAINING, "leaving"));
        placer.updateCandidates(List.of(nodes.get(1).candidate));
        Dispatcher.DispatchRequest request = request(true, 2, 600);
        CompletableFuture<CallAnswer> answer = new CompletableFuture<>();
        runOnTrafficLoop(() -> {
            dispatcher.dispatch(request, answer::complete);
            placer.updateCandidates(List.of(nodes.get(0).candidate));
        });

        assertThat(answer.get(2, TimeUnit.SECONDS).getStatus()).isEqualTo(504);
        assertThat(nodes.get(0).calls).hasSize(1);
    }

    /** A node becomes unreachable, for example by a network partition, while requests wait for its answers. */
    @Test
    void retriesIdempotentRequestsWhenTheirHostBecomesUnreachable() throws Exception {
        runOnTrafficLoop(() -> dispatcher.setRetryBudget(0, 100));
        setAnswers(null, ok());
        List<CompletableFuture<CallAnswer>> answers = startSeveral(true);
        runOnTrafficLoop(() -> dispatcher.unreachableHosts(Set.of(new HostId("first"))));

        for (CompletableFuture<CallAnswer> answer : answers) {
            assertThat(answer.get(1, TimeUnit.SECONDS).getStatus()).isEqualTo(200);
        }
        assertThat(nodes.get(0).calls).isNotEmpty();
        assertThat(nodes.get(1).calls).hasSize(answers.size());
        assertThat(cancelled.await(1, TimeUnit.SECONDS)).isTrue();
    }

    @Test
    void nonIdempotentRequestsKeepWaitingForUnreachableHost() throws Exception {
        runOnTrafficLoop(() -> dispatcher.setRetryBudget(0, 100));
        setAnswers(null, ok());
        List<CompletableFuture<CallAnswer>> answers = startSeveral(false);
        runOnTrafficLoop(() -> dispatcher.unreachableHosts(Set.of(new HostId("first"))));
        Thread.sleep(200);

        assertThat(totalCalls()).isEqualTo(answers.size());
        assertThat(answers.stream().filter(answer -> !answer.isDone()))
                .hasSize(nodes.get(0).calls.size());
    }

    @Test
    void requestsKeepWaitingForUnreachableHostWhenRetryBudgetIsSpent() throws Exception {
        runOnTrafficLoop(() -> dispatcher.setRetryBudget(0, 1));
        setAnswers(null, ok());
        List<CompletableFuture<CallAnswer>> answers = startSeveral(true);
        runOnTrafficLoop(() -> dispatcher.unreachableHosts(Set.of(new HostId("first"))));
        Thread.sleep(200);

        assertThat(totalCalls()).isEqualTo(answers.size() + 1);
    }

    @Test
    void requestsKeepWaitingWhenAllHostsAreUnreachable() throws Exception {
        runOnTrafficLoop(() -> dispatcher.setRetryBudget(0, 100));
        setAnswers(null, null);
        List<CompletableFuture<CallAnswer>> answers = startSeveral(true);
        runOnTrafficLoop(() -> dispatcher.unreachableHosts(Set.of(new HostId("first"), new HostId("second"))));
        Thread.sleep(200);

        assertThat(totalCalls()).isEqualTo(answers.size());
        assertThat(answers).noneMatch(CompletableFuture::isDone);
    }

    private List<CompletableFuture<CallAnswer>> startSeveral(boolean idempotent) throws InterruptedException {
        List<CompletableFuture<CallAnswer>> answers = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            answers.add(start(request(idempotent, 2, 3_000)));
        }
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
        while (totalCalls() < answers.size() && System.nanoTime() < end) {
            Thread.sleep(5);
        }
        return answers;
    }

    @Test
    void cancelledRequestsDoNotCountAsHostFailures() throws Exception {
        for (int i = 0; i < 20; i++) {
            CompletableFuture<CallAnswer> ignored = new CompletableFuture<>();
            Runnable cancel = trafficGroup
                    .submit(() -> dispatcher.dispatch(request(true, 2, 3_000), ignored::complete))
                    .syncUninterruptibly()
                    .getNow();
            runOnTrafficLoop(cancel);
        }
        Thread.sleep(100);
        setAnswers(ok(), ok());
        int firstBefore = nodes.get(0).calls.size();
        int secondBefore = nodes.get(1).calls.size();
        for (int i = 0; i < 40; i++) {
            dispatch(true, 1);
        }

        assertThat(nodes.get(0).calls.size()).isGreaterThan(firstBefore);
        assertThat(nodes.get(1).calls.size()).isGreaterThan(secondBefore);
    }

    private void setAnswers(CallAnswer first, CallAnswer second) {
        nodes.get(0).answer = first;
        nodes.get(1).answer = second;
    }

    private static CallAnswer ok() {
        return CallAnswer.newBuilder().setStatus(200).build();
    }

    private int totalCalls() {
        return nodes.stream().mapToInt(node -> node.calls.size()).sum();
    }

    private CallAnswer dispatch(boolean idempotent, int attempts) throws Exception {
        return start(request(idempotent, attempts, 3_000)).get(5, TimeUnit.SECONDS);
    }

    private CompletableFuture<CallAnswer> start(Dispatcher.DispatchRequest request) {
        CompletableFuture<CallAnswer> answer = new CompletableFuture<>();
        runOnTrafficLoop(() -> dispatcher.dispatch(request, answer::complete));
        return answer;
    }

    private static Dispatcher.DispatchRequest request(boolean idempotent, int attempts, long millis) {
        Call.Builder call = Call.newBuilder()
                .setService("orders")
                .setRoute("route")
                .setMethod("GET")
                .setTarget("/x")
                .setIdempotent(idempotent);
        return new Dispatcher.DispatchRequest(
                "r1", call, ORDERS, attempts, Clock.system().millis() + millis);
    }

    private void runOnTrafficLoop(Runnable action) {
        trafficGroup.submit(action).syncUninterruptibly();
    }
}
