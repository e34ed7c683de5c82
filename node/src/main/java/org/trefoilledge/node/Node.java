package org.trefoilledge.node;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.trefoilledge.configstore.EtcdSettings;
import org.trefoilledge.configstore.EtcdStore;
import org.trefoilledge.core.Clock;
import org.trefoilledge.core.Incarnation;
import org.trefoilledge.core.ZoneId;
import org.trefoilledge.core.idempotency.ArbiterSettings;
import org.trefoilledge.core.idempotency.ArbiterTable;
import org.trefoilledge.core.limit.LimitSettings;
import org.trefoilledge.core.limit.TokenBorrower;
import org.trefoilledge.core.overload.GuardSettings;
import org.trefoilledge.core.overload.Mechanism;
import org.trefoilledge.core.overload.SheddingTable;
import org.trefoilledge.core.placement.PlacementSettings;
import org.trefoilledge.core.placement.Placer;
import org.trefoilledge.wire.PeerIdentity;
import org.trefoilledge.wire.PeerTransport;
import org.trefoilledge.wire.TransportSettings;

/** The node of one upstream host. Connects the parts, and takes them down in an order that interrupts no request. */
public final class Node implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(Node.class);
    private static final long TICK_MILLIS = 10;
    private static final long STOP_POLL_MILLIS = 20;

    /** Time in which other nodes learn that this one is draining, and keep-alive callers see "Connection: close". */
    private static final long ANNOUNCE_MILLIS = 2_000;

    private final NodeSettings settings;
    private final Clock clock = Clock.system();
    private final Incarnation incarnation = new Incarnation(System.currentTimeMillis());
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(daemon("timer"));
    private final ScheduledExecutorService control = Executors.newSingleThreadScheduledExecutor(daemon("control"));
    private final PrometheusMeterRegistry metrics = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final Decisions decisions = new Decisions(clock, metrics);
    private final StoreWorker store;
    private final PeerTransport transport;
    private final UpstreamClient upstream;
    private final GuardService guard;
    private final Control parts;
    private final CallerHandler callers;
    private final CallerHandler childCalls;
    private final HttpServers servers = new HttpServers();

    private Node(NodeSettings settings) throws Exception {
        this.settings = settings;
        PeerRequests requests = new PeerRequests(this::snapshot, control, clock);
        store = new StoreWorker(
                new EtcdStore(EtcdSettings.of(settings.storeEndpoints(), settings.zone() + "," + settings.host())),
                control);
        transport = new PeerTransport(
                new PeerIdentity(settings.host(), settings.zone(), incarnation),
                requests,
                TransportSettings.of(PeerAddress.print(settings.peers()))
                        .withMaxBodyBytes(settings.limits().maxBodyBytes()));
        upstream = new UpstreamClient(settings.limits().maxBodyBytes());
        Contexts contexts = new Contexts();
        guard = new GuardService(
                settings.host(), guardSettings(), upstream, contexts, this::snapshot, decisions, clock);
        Placer placer = new Placer(
                settings.host(),
                settings.zone(),
                PlacementSettings.defaults(settings.host())
                        .withMechanisms(
                                settings.policy().twoChoices(),
                                settings.policy().ejection()));
        ZoneRecords records = new ZoneRecords();
        ArbiterTable table = new ArbiterTable(ArbiterSettings.DEFAULT);
        TokenBorrower wallet = new TokenBorrower(limitSettings(), incarnation.value());
        parts = new Control(
                settings, incarnation, guard, placer, records, table, wallet, store, transport, control, clock);
        Peers peers = new Peers(transport, clock);
        Dispatcher dispatcher = new Dispatcher(
                settings.host(), placer, guard, peers, clock, settings.policy().retryBudget());
        Arbiter arbiter = new Arbiter(
                table, shard -> parts.authority().mayAct(shard), dispatcher, clock, System::currentTimeMillis);
        Pipeline pipeline = pipeline(wallet, records, peers, dispatcher, arbiter);
        Timer requestTimer = Timer.builder("trefoilledge.requests")
                .description("Requests of callers, from their body to the written answer")
                .publishPercentiles(0.5, 0.99)
                .register(metrics);
        callers = new CallerHandler(pipeline, settings.limits().maxBodyBytes(), decisions, clock, requestTimer);
        Timer childTimer = Timer.builder("trefoilledge.child.calls")
                .description("Calls that the local upstream made to other services")
                .publishPercentiles(0.5, 0.99)
                .register(metrics);
        childCalls = new CallerHandler(pipeline, settings.limits().maxBodyBytes(), decisions, clock, childTimer);
        servers.callers(settings.callers(), callers)
                .local(settings.local(), new LocalHandler(childCalls, contexts, guard, clock))
                .operators(
                        settings.operators(),
                        new OperatorsHandler(
                                metrics, parts::status, decisions, this::inject, settings.faultsEnabled(), clock));
        requests.connect(guard, arbiter, records, parts.gossip(), parts.config(), parts.loans(), parts.authority());
        gauges();
    }

    /**
     * Starts a node.
     *
     * @throws Exception if an address cannot be bound; nothing keeps running then
     */
    public static Node start(NodeSettings settings) throws Exception {
        Node node = new Node(settings);
        try {
            node.start();
        } catch (Exception e) {
            node.release();
            throw e;
        }
        return node;
    }

    private void start() throws Exception {
        parts.start();
        var unused = timer.scheduleWithFixedDelay(this::tickGuard, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
        servers.start();
        LOG.info(
                "node: host {} of {} serves callers on {}.",
                settings.host(),
                settings.zone(),
                PeerAddress.print(settings.callers()));
    }

    private Pipeline pipeline(
            TokenBorrower wallet, ZoneRecords records, Peers peers, Dispatcher dispatcher, Arbiter arbiter) {
        AuthenticationFilter authentication = new AuthenticationFilter(this::snapshot, () -> parts.isolated());
        return new Pipeline(List.of(
                new RouteFilter(this::snapshot),
                authentication,
                new HeaderFilter(),
                new IdempotencyFilter(),
                new RateFilter(wallet, authentication, timer, clock),
                new SheddingFilter(new SheddingTable(), settings.policy().shedding(), clock),
                new ArbiterFilter(settings.host(), arbiter, records, peers, clock),
                (exchange, next) -> dispatcher.dispatch(exchange)));
    }

    private GuardSettings guardSettings() {
        Set<Mechanism> mechanisms = EnumSet.allOf(Mechanism.class);
        NodeSettings.Policy policy = settings.policy();
        if (!policy.guard()) {
            mechanisms.clear();
        }
        if (!policy.adaptiveLimit()) {
            mechanisms.remove(Mechanism.ADAPTIVE_LIMIT);
        }
        if (!policy.fairness()) {
            mechanisms.remove(Mechanism.FAIRNESS);
        }
        if (!policy.shedding()) {
            mechanisms.remove(Mechanism.ADMISSION_LEVEL);
        }
        return GuardSettings.defaults(1).withMechanisms(mechanisms).withFirstGeneration(incarnation.value());
    }

    private LimitSettings limitSettings() {
        LimitSettings defaults = LimitSettings.DEFAULT;
        return new LimitSettings(
                defaults.loanMillis(),
                defaults.increaseDelayMillis(),
                defaults.waitMillis(),
                settings.policy().loans());
    }

    private Snapshot snapshot() {
        return parts == null ? Control.NOTHING : parts.snapshot();
    }

    private void tickGuard() {
        try {
            guard.tick(clock.millis());
        } catch (RuntimeException e) {
            LOG.error("guard: a tick failed.", e);
        }
    }

    private void inject(OperatorsHandler.Faults faults) {
        List<ZoneId> zones = faults.cutZones().stream().map(ZoneId::new).toList();
        LOG.warn("node: injected faults: zones {} and store {} are cut off.", zones, faults.cutStore());
        transport.setBlocked(peer -> zones.contains(peer.zone()));
        store.cut(faults.cutStore());
    }

    private void gauges() {
        new JvmMemoryMetrics().bindTo(metrics);
        Gauge.builder("trefoilledge.guard.active", guard, GuardService::active)
                .description("Calls queued or running at the guard")
                .register(metrics);
        Gauge.builder("trefoilledge.guard.limit", guard, g -> g.report(clock.millis())
                        .limit())
                .description("Concurrency limit of the guard")
                .register(metrics);
        Gauge.builder("trefoilledge.guard.admission.level", guard, g -> g.report(clock.millis())
                        .admissionLevel())
                .description("Admission level of the guard, 0 admits all")
                .register(metrics);
        Gauge.builder("trefoilledge.config.revision", this, n -> n.snapshot().revision())
                .description("Configuration revision in force")
                .register(metrics);
        Gauge.builder("trefoilledge.peers.sent", transport, PeerTransport::bytesSent)
                .baseUnit("bytes")
                .description("Bytes sent to other nodes since the start")
                .register(metrics);
        Gauge.builder("trefoilledge.peers.received", transport, PeerTransport::bytesReceived)
                .baseUnit("bytes")
                .description("Bytes received from other nodes since the start")
                .register(metrics);
        Gauge.builder("trefoilledge.peers.late.responses", transport, PeerTransport::lateResponses)
                .description("Responses that came after their time limit and were dropped")
                .register(metrics);
    }

    /** Returns the same as {@code GET /status} on the operators' port. */
    public Map<String, Object> status() {
        return parts.status();
    }

    /**
     * Stops the node in an orderly way: it announces that it drains, transfers its shards, serves what it has accepted
     * up to the configured time, and then closes its ports.
     */
    @Override
    public void close() {
        long deadline = clock.millis() + settings.limits().drainTimeoutMillis();
        LOG.info("node: host {} drains.", settings.host());
        guard.stop();
        callers.closing();
        parts.leave();
        waitUntil(Math.min(deadline, clock.millis() + ANNOUNCE_MILLIS), () -> false);
        servers.shutdownCallers();
        waitUntil(deadline, () -> callers.inFlight() + childCalls.inFlight() + guard.active() == 0 && parts.left());
        release();
        LOG.info("node: host {} has stopped.", settings.host());
    }

    private void waitUntil(long deadline, java.util.function.BooleanSupplier done) {
        while (clock.millis() < deadline && !done.getAsBoolean()) {
            try {
                Thread.sleep(STOP_POLL_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private void release() {
        closeQuietly(servers);
        control.shutdownNow();
        timer.shutdownNow();
        closeQuietly(transport);
        closeQuietly(upstream);
        closeQuietly(store);
    }

    private static void closeQuietly(AutoCloseable part) {
        try {
            part.close();
        } catch (Exception e) {
            LOG.warn("node: a part did not close: {}.", e.toString());
        }
    }

    private static java.util.concurrent.ThreadFactory daemon(String name) {
        return work -> {
            Thread thread = new Thread(work, name);
            thread.setDaemon(true);
            return thread;
        };
    }
}
