package org.trefoilledge.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
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

/** Two other nodes on loopback whose answers the tests choose. */
class DispatcherTest {
    private static final ZoneId ZONE = new ZoneId("a");
    private static final ServiceId ORDERS = new ServiceId("orders");
    private static final HostId SELF = new HostId("self");

    private final EventLoopGroup traffic = new MultiThreadIoEventLoopGroup(1, SocketTransport.ioHandler());
    private final List<Node> nodes = new ArrayList<>();
    private final CountDownLatch cancelled = new CountDownLatch(1);
    private Dispatcher dispatcher;

    /** A node that answers calls from a script and counts them. */
    private final class Node implements PeerLinks.Handler, AutoCloseable {
        private final Candidate candidate;
        private final PeerLinks links;
        private final List<Call> calls = new CopyOnWriteArrayList<>();
        private volatile CallAnswer answer;

        Node(String host) throws IOException {
            String address = "127.0.0.1:" + freePort();
            candidate = new Candidate(new HostId(host), ZONE, ORDERS, address, new Incarnation(1), 10);
            links = new PeerLinks(new PeerIdentity(candidate.host(), ZONE, new Incarnation(1)), address, this, traffic);
        }

        @Override
        public Runnable handleCall(Call call, Consumer<CallAnswer> answered) {
            calls.add(call);
            if (answer != null) {
                answered.accept(answer);
            }
            return cancelled::countDown;
        }

        @Override
        public void handleReport(PeerIdentity from, StatusReport report, Consumer<StatusAnswer> answered) {
            answered.accept(StatusAnswer.getDefaultInstance());
        }

        @Override
        public void handleZoneReport(PeerIdentity from, ZoneReport report, Consumer<ZoneAnswer> answered) {
            answered.accept(ZoneAnswer.getDefaultInstance());
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
        Node self = new Node("self");
        nodes.add(new Node("first"));
        nodes.add(new Node("second"));
        nodes.add(self);
        Placer placer = new Placer(SELF, ZONE, PlacementSettings.defaults(SELF));
        placer.update(List.of(nodes.get(0).candidate, nodes.get(1).candidate));
        Clock clock = Clock.system();
        UpstreamPool pool = new UpstreamPool(
                traffic,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 1),
                TestNames.NAMES,
                BodyRoom.ofHeap(),
                clock);
        EventLoop loop = (EventLoop) traffic.next();
        Gate gate = new Gate(loop, pool, LocalUpstream.none(ORDERS), new LoadMeter(ORDERS, clock), clock);
        dispatcher = new Dispatcher(
                SELF, gate, self.links, placer, loop, clock, new DecisionLog(clock), RandomGenerator.getDefault());
        dispatcher.retryBudget(0.2, 10);
    }

    @AfterEach
    void close() {
        nodes.forEach(Node::close);
        traffic.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).awaitUninterruptibly();
    }

    @Test
    void anAnswerOfAnUpstreamIsReturned() throws Exception {
        answers(ok(), ok());

        assertThat(dispatch(false, 2).getStatus()).isEqualTo(200);
        assertThat(calls()).isEqualTo(1);
    }

    @Test
    void aRequestThatCertainlyHasNotRunGoesToAnotherUpstream() throws Exception {
        CallAnswer draining = Refusals.refusal(ErrorKind.DRAINING, "leaving");
        answers(draining, draining);
        CallAnswer answer = dispatch(false, 2);

        assertThat(calls()).isEqualTo(2);
        assertThat(Refusals.notRun(answer)).isTrue();
    }

    @Test
    void aNonIdempotentRequestThatMayHaveRunIsNotSentAgain() throws Exception {
        CallAnswer lost = Refusals.refusal(ErrorKind.UPSTREAM_FAILED, "connection reset");
        answers(lost, lost);
        CallAnswer answer = dispatch(false, 2);

        assertThat(calls()).isEqualTo(1);
        assertThat(Refusals.notRun(answer)).isFalse();
    }

    @Test
    void anIdempotentRequestThatFailedGoesToAsManyUpstreamsAsTheRouteAllows() throws Exception {
        CallAnswer lost = Refusals.refusal(ErrorKind.UPSTREAM_FAILED, "connection reset");
        answers(lost, lost);
        assertThat(Refusals.notRun(dispatch(true, 2))).isFalse();
        assertThat(calls()).isEqualTo(2);
    }

    @Test
    void aRequestIsSentToOneUpstreamWhereTheRouteAllowsOne() throws Exception {
        CallAnswer lost = Refusals.refusal(ErrorKind.UPSTREAM_FAILED, "connection reset");
        answers(lost, lost);
        dispatch(true, 1);

        assertThat(calls()).isEqualTo(1);
    }

    @Test
    void theFailureOfAnExecutionThatMakesCallsIsNotRepeated() throws Exception {
        CallAnswer failed =
                CallAnswer.newBuilder().setStatus(500).setMakesCalls(true).build();
        answers(failed, failed);

        assertThat(dispatch(true, 2).getStatus()).isEqualTo(500);
        assertThat(calls()).isEqualTo(1);
    }

    @Test
    void repeatsEndWhenTheBudgetOfTheFleetIsUsedUp() throws Exception {
        onTraffic(() -> dispatcher.retryBudget(0, 1));
        CallAnswer lost = Refusals.refusal(ErrorKind.UPSTREAM_FAILED, "connection reset");
        answers(lost, lost);
        dispatch(true, 2);
        dispatch(true, 2);

        assertThat(calls()).isEqualTo(3);
    }

    @Test
    void aHostThatCannotBeReachedHasNotRunTheRequest() throws Exception {
        nodes.get(0).close();
        nodes.get(1).close();
        CallAnswer answer = dispatch(false, 2);

        assertThat(Refusals.notRun(answer)).isTrue();
    }

    @Test
    void aRequestWithoutAnAnswerEndsAtItsDeadlineAndIsCancelled() throws Exception {
        CompletableFuture<CallAnswer> answer = start(order(true, 2, 300));

        assertThat(answer.get(2, TimeUnit.SECONDS).getStatus()).isEqualTo(504);
        assertThat(Refusals.notRun(answer.get())).isFalse();
        assertThat(cancelled.await(1, TimeUnit.SECONDS)).isTrue();
    }

    /** Replays a node that is cut off while requests wait for it. */
    @Test
    void idempotentRequestsGoOnElsewhereWhenTheirNodeFallsSilent() throws Exception {
        onTraffic(() -> dispatcher.retryBudget(0, 100));
        answers(null, ok());
        List<CompletableFuture<CallAnswer>> answers = startSeveral(true);
        onTraffic(() -> dispatcher.unreachable(Set.of(new HostId("first"))));

        for (CompletableFuture<CallAnswer> answer : answers) {
            assertThat(answer.get(1, TimeUnit.SECONDS).getStatus()).isEqualTo(200);
        }
        assertThat(nodes.get(0).calls).isNotEmpty();
        assertThat(nodes.get(1).calls).hasSize(answers.size());
        assertThat(cancelled.await(1, TimeUnit.SECONDS)).isTrue();
    }

    @Test
    void aNonIdempotentRequestWaitsForItsSilentNode() throws Exception {
        onTraffic(() -> dispatcher.retryBudget(0, 100));
        answers(null, ok());
        List<CompletableFuture<CallAnswer>> answers = startSeveral(false);
        onTraffic(() -> dispatcher.unreachable(Set.of(new HostId("first"))));
        Thread.sleep(200);

        assertThat(calls()).isEqualTo(answers.size());
        assertThat(answers.stream().filter(answer -> !answer.isDone()))
                .hasSize(nodes.get(0).calls.size());
    }

    @Test
    void requestsWaitForASilentNodeWhenTheBudgetOfTheFleetIsUsedUp() throws Exception {
        onTraffic(() -> dispatcher.retryBudget(0, 1));
        answers(null, ok());
        List<CompletableFuture<CallAnswer>> answers = startSeveral(true);
        onTraffic(() -> dispatcher.unreachable(Set.of(new HostId("first"))));
        Thread.sleep(200);

        assertThat(calls()).isEqualTo(answers.size() + 1);
    }

    @Test
    void requestsWaitForASilentNodeWhenNoOtherOneAnswers() throws Exception {
        onTraffic(() -> dispatcher.retryBudget(0, 100));
        answers(null, null);
        List<CompletableFuture<CallAnswer>> answers = startSeveral(true);
        onTraffic(() -> dispatcher.unreachable(Set.of(new HostId("first"), new HostId("second"))));
        Thread.sleep(200);

        assertThat(calls()).isEqualTo(answers.size());
        assertThat(answers).noneMatch(CompletableFuture::isDone);
    }

    private List<CompletableFuture<CallAnswer>> startSeveral(boolean idempotent) throws InterruptedException {
        List<CompletableFuture<CallAnswer>> answers = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            answers.add(start(order(idempotent, 2, 3_000)));
        }
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
        while (calls() < answers.size() && System.nanoTime() < end) {
            Thread.sleep(5);
        }
        return answers;
    }

    @Test
    void callersThatLeaveDoNotMakeAHostSuspect() throws Exception {
        for (int i = 0; i < 20; i++) {
            CompletableFuture<CallAnswer> ignored = new CompletableFuture<>();
            Runnable cancel = traffic.submit(() -> dispatcher.dispatch(order(true, 2, 3_000), ignored::complete))
                    .syncUninterruptibly()
                    .getNow();
            onTraffic(cancel);
        }
        Thread.sleep(100);
        answers(ok(), ok());
        int firstBefore = nodes.get(0).calls.size();
        int secondBefore = nodes.get(1).calls.size();
        for (int i = 0; i < 40; i++) {
            dispatch(true, 1);
        }

        assertThat(nodes.get(0).calls.size()).isGreaterThan(firstBefore);
        assertThat(nodes.get(1).calls.size()).isGreaterThan(secondBefore);
    }

    private void answers(CallAnswer first, CallAnswer second) {
        nodes.get(0).answer = first;
        nodes.get(1).answer = second;
    }

    private static CallAnswer ok() {
        return CallAnswer.newBuilder().setStatus(200).build();
    }

    private int calls() {
        return nodes.stream().mapToInt(node -> node.calls.size()).sum();
    }

    private CallAnswer dispatch(boolean idempotent, int attempts) throws Exception {
        return start(order(idempotent, attempts, 3_000)).get(5, TimeUnit.SECONDS);
    }

    private CompletableFuture<CallAnswer> start(Dispatcher.Order order) {
        CompletableFuture<CallAnswer> answer = new CompletableFuture<>();
        onTraffic(() -> dispatcher.dispatch(order, answer::complete));
        return answer;
    }

    private static Dispatcher.Order order(boolean idempotent, int attempts, long millis) {
        Call.Builder call = Call.newBuilder()
                .setService("orders")
                .setRoute("route")
                .setMethod("GET")
                .setTarget("/x")
                .setIdempotent(idempotent);
        return new Dispatcher.Order("r1", call, ORDERS, attempts, Clock.system().millis() + millis);
    }

    private void onTraffic(Runnable action) {
        traffic.submit(action).syncUninterruptibly();
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }
}
