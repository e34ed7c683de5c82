package org.trefoilledge.sidecar;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.trefoilledge.core.Clock;
import org.trefoilledge.core.Incarnation;
import org.trefoilledge.core.SuspendAwareClock;
import org.trefoilledge.core.admission.AdmissionGate;
import org.trefoilledge.core.admission.TreeOutcomeLimit;
import org.trefoilledge.core.placement.PlacementSettings;
import org.trefoilledge.core.placement.Placer;
import org.trefoilledge.core.rate.RateTolerance;
import org.trefoilledge.core.rate.TokenGrant;
import org.trefoilledge.core.routing.CallerLimits;
import org.trefoilledge.core.routing.RoutingConfig;
import org.trefoilledge.wire.PeerIdentity;
import org.trefoilledge.wire.SocketTransport;
import org.trefoilledge.wire.generated.StatusAnswer;
import org.trefoilledge.wire.generated.StatusReport;
import org.trefoilledge.wire.generated.ZoneAnswer;
import org.trefoilledge.wire.generated.ZoneReport;

/** A running sidecar with two threads: one serves traffic, the other runs the {@link ControlPlane}. */
@SuppressWarnings("FutureReturnValueIgnored") // failures are reported through channel events and timers
public final class Sidecar implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(Sidecar.class);
    /** Subtracted from the revocation time to leave time for reading the configuration and for checking a key. */
    private static final long REVOCATION_MARGIN_MILLIS = 400;

    private static final long UPSTREAM_SWEEP_INTERVAL_MILLIS = 1_000;
    /** Upstreams take no response after a second. */
    private static final long MAX_ACKNOWLEDGEMENT_MILLIS = 800;

    private final SidecarSettings settings;
    private final Platform platform;
    private final Clock clock = Clock.system();
    private final Clock leaseClock = new SuspendAwareClock(clock, System::currentTimeMillis);
    private final Incarnation incarnation = new Incarnation(System.currentTimeMillis());
    private final RandomGenerator random = RandomGenerator.getDefault();
    private final EventLoopGroup trafficGroup = newEventLoopGroup("traffic");
    private final EventLoopGroup controlGroup = newEventLoopGroup("control");
    private final EventLoop trafficLoop = (EventLoop) trafficGroup.next();
    private final EventLoop controlLoop = (EventLoop) controlGroup.next();
    private final ConfigState currentConfig = new ConfigState(clock, System::currentTimeMillis);
    private final SidecarMetrics metrics = new SidecarMetrics();
    private final TokenSource tokenSource;
    private final UpstreamPool upstreamPool;
    private final UpstreamGate gate;
    private final PeerLinks peers;
    private final ExplainEndpoint explainEndpoint;
    private final CallerServer callerServer;
    private final KeyValueStore store;
    private final ControlPlane controlPlane;
    private final List<Endpoint> endpoints = new ArrayList<>();
    /** The plan of the stop that has begun, null until then. */
    private volatile StopPlan stopPlan;

    private Sidecar(SidecarSettings settings, Platform platform) throws IOException {
        this.settings = settings;
        this.platform = platform;
        HeaderNames headerNames = platform.headers();
        DecisionLog decisionLog = new DecisionLog(clock);
        BodyMemoryLimit bodyMemory = BodyMemoryLimit.forHeap();
        upstreamPool = new UpstreamPool(trafficGroup, settings.upstream(), headerNames, bodyMemory, clock);
        Set<Feature> features = settings.enabledFeatures(platform.features(settings.terms()));
        boolean treeAdmission = features.contains(Feature.TREE_ADMISSION);
        boolean learnCapacity = features.contains(Feature.LEARNED_CAPACITY);
        LoadMeter loadMeter = new LoadMeter(settings.service(), clock, treeAdmission);
        ColdStartControl coldStart = new ColdStartControl(
                settings.bounds().coldRequests(),
                settings.bounds().heartbeatMillis(),
                leaseClock,
                new HealthProbe(trafficGroup, settings.upstream(), headerNames));
        if (settings.bounds().coldRequests().isPresent()) {
            coldStart.registerMetrics(metrics);
        }
        gate = new UpstreamGate(
                trafficLoop,
                upstreamPool,
                LocalUpstream.none(settings.service()),
                loadMeter,
                coldStart,
                clock,
                learnCapacity);
        RateTolerance tolerance = rateTolerance(settings);
        tokenSource = new TokenSource(settings.host(), settings.zone(), tolerance, leaseClock, this::requestTokens);
        RateLimits limits = new RateLimits(leaseClock, tolerance.tokenLifetimeMillis(), tokenSource);
        peers = new PeerLinks(
                new PeerIdentity(settings.host(), settings.zone(), incarnation),
                formatAddress(settings.peers()),
                new PeerRequestHandler(gate, tokenSource, currentConfig, controlLoop, new ReportForwarder()),
                trafficGroup);
        PlacementSettings placement = PlacementSettings.defaults(settings.host());
        Placer placer =
                new Placer(settings.host(), settings.zone(), learnCapacity ? placement.withExpectedTime() : placement);
        Dispatcher dispatcher = new Dispatcher(
                settings.host(), gate, peers, placer, trafficLoop, clock, decisionLog, metrics, random, treeAdmission);
        AdmissionGate admission = new AdmissionGate();
        List<RequestFilter> filters = RequestFilters.all(
                currentConfig, headerNames, maxConfigAgeMillis(), () -> Optional.ofNullable(stopPlan));
        explainEndpoint = new ExplainEndpoint(
                new RequestExplainer(
                        filters, currentConfig, headerNames, admission, limits, dispatcher::explain, clock),
                trafficLoop,
                metrics);
        CallerRequestHandler handler = new CallerRequestHandler(
                filters,
                dispatcher,
                limits,
                admission,
                loadMeter,
                headerNames,
                settings.service(),
                currentConfig,
                clock,
                decisionLog,
                metrics,
                random,
                treeAdmission,
                new TreeOutcomeLimit());
        callerServer = new CallerServer(trafficGroup, handler, this::callerLimits, bodyMemory, clock);
        store = platform.openStore(settings.store(), controlLoop);
        TrafficPlane traffic = new TrafficPlane(
                trafficLoop, gate, dispatcher, placer, tokenSource, limits, admission, coldStart, settings.service());
        controlPlane = new ControlPlane(
                settings,
                platform,
                store,
                incarnation,
                controlLoop,
                clock,
                leaseClock,
                random,
                currentConfig,
                metrics,
                peers,
                traffic);
        if (treeAdmission) {
            registerTreeGauges(loadMeter, traffic, handler);
        }
    }

    private void registerTreeGauges(LoadMeter loadMeter, TrafficPlane traffic, CallerRequestHandler handler) {
        metrics.registerGauge(
                "trefoilledge.upstream.rejection.rate",
                "Part of the calls that the upstream on this host rejects",
                loadMeter::rejectionRate);
        metrics.registerGauge(
                "trefoilledge.admission.limited.by.retries",
                "Classes of requests that the plan limits by the retries of their call trees",
                traffic::classesLimitedByRetries);
        metrics.registerGauge(
                "trefoilledge.admission.limited.by.outcomes",
                "Routes that this node limits by the outcomes of its own call trees",
                handler::routesLimitedByOutcomes);
    }

    /**
     * Starts a sidecar.
     *
     * @throws IOException if a listen address cannot be bound
     */
    public static Sidecar start(SidecarSettings settings, Platform platform) throws IOException {
        Sidecar sidecar = new Sidecar(settings, platform);
        sidecar.listen();
        LOG.info("sidecar: host {} started", settings.host());
        return sidecar;
    }

    private void listen() throws IOException {
        metrics.registerGauge(
                "trefoilledge.config.age", "Age of the configuration in milliseconds", currentConfig::ageMillis);
        metrics.registerGauge("trefoilledge.config.version", "Version of the configuration", currentConfig::version);
        metrics.registerCounter(
                "trefoilledge.upstream.connections",
                "Connections that this node has opened to the upstream",
                upstreamPool::connectionsOpened);
        metrics.registerCounter(
                "trefoilledge.upstream.unexpected.bytes",
                "Connections to the upstream that were closed because of bytes that belong to no request",
                upstreamPool::unexpectedBytes);
        if (gate.learnedLimit() != null) {
            gate.learnedLimit().register(metrics);
        }
        measureDelay("traffic", trafficLoop);
        measureDelay("control", controlLoop);
        endpoints.add(new Endpoint(settings.operators(), controlGroup, this::handleOperator));
        endpoints.add(new Endpoint(
                settings.ready(),
                controlGroup,
                (method, path, body) ->
                        CompletableFuture.completedFuture(Endpoint.Response.emptyJson(ready() ? 200 : 503))));
        endpoints.add(new Endpoint(settings.announcements(), controlGroup, this::handleAnnouncement));
        callerServer.listen(settings.callers());
        controlLoop.execute(controlPlane::start);
        Repeated.scheduleWithFixedDelay(trafficLoop, UPSTREAM_SWEEP_INTERVAL_MILLIS, upstreamPool::closeExpired);
    }

    private void measureDelay(String thread, EventLoop loop) {
        LoopDelayMeter delay = new LoopDelayMeter(thread, clock);
        metrics.registerGauge(
                "trefoilledge." + thread + ".delay",
                "Delay of the " + thread + " thread in milliseconds",
                delay::lastDelayMillis);
        Repeated.scheduleWithFixedDelay(loop, LoopDelayMeter.INTERVAL_MILLIS, delay);
    }

    private CompletableFuture<Endpoint.Response> handleOperator(String method, String path, byte[] body) {
        return path.equals(ExplainEndpoint.PATH)
                ? explainEndpoint.handle(method, body)
                : CompletableFuture.completedFuture(new Endpoint.Response(200, "text/plain", metrics.scrape()));
    }

    private boolean ready() {
        return stopPlan == null && controlPlane.ready() && currentConfig.ageMillis() <= maxConfigAgeMillis();
    }

    /** Returns the age of the configuration up to which its keys are accepted. */
    private long maxConfigAgeMillis() {
        return settings.bounds().revocationMillis() - REVOCATION_MARGIN_MILLIS;
    }

    /** Acknowledges an announcement with 200. The upstream repeats an announcement that is answered with 503. */
    private CompletableFuture<Endpoint.Response> handleAnnouncement(String method, String path, byte[] body) {
        Announcement announcement = platform.readAnnouncement(method, path, body);
        if (announcement instanceof Announcement.Invalid invalid) {
            LOG.info("upstream: ignored an announcement: {}", invalid.reason());
            return CompletableFuture.completedFuture(Endpoint.Response.emptyJson(400));
        }
        CompletableFuture<Endpoint.Response> response = controlPlane
                .applyAnnouncement(announcement)
                .thenApply(valid -> Endpoint.Response.emptyJson(valid ? 200 : 400));
        if (!response.isDone()) {
            controlLoop.schedule(
                    () -> response.complete(Endpoint.Response.emptyJson(503)),
                    MAX_ACKNOWLEDGEMENT_MILLIS,
                    TimeUnit.MILLISECONDS);
        }
        return response;
    }

    private CompletableFuture<Optional<TokenGrant>> requestTokens(
            String address, TokenSource.Request question, long timeoutMillis) {
        return peers.requestTokens(address, question, timeoutMillis);
    }

    /** Forwards reports from other nodes to the control plane, which is created after {@link PeerLinks}. */
    private final class ReportForwarder implements PeerRequestHandler.ReportReceiver {
        @Override
        public StatusAnswer receiveReport(PeerIdentity from, StatusReport report) {
            return controlPlane.receiveReport(from, report);
        }

        @Override
        public ZoneAnswer receiveReport(PeerIdentity from, ZoneReport report) {
            return controlPlane.receiveReport(from, report);
        }
    }

    private static RateTolerance rateTolerance(SidecarSettings settings) {
        SidecarSettings.Bounds bounds = settings.bounds();
        return new RateTolerance(
                bounds.limitOver(),
                bounds.limitSlack(),
                bounds.limitWindowMillis(),
                settings.zones().size());
    }

    private CallerLimits callerLimits() {
        return currentConfig.config().map(RoutingConfig::callerLimits).orElse(CallerLimits.DEFAULT);
    }

    static String formatAddress(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private static EventLoopGroup newEventLoopGroup(String name) {
        return new MultiThreadIoEventLoopGroup(
                1, new DefaultThreadFactory(name, true), SocketTransport.ioHandlerFactory());
    }

    /** Stops gracefully: refuses new requests, waits for running ones and removes this node's entry from the store. */
    @Override
    public void close() {
        new Shutdown(this).run();
    }

    /**
     * Reports this node as not ready, asks callers to close their connections and refuses further upstream calls.
     *
     * @return the times of the stop
     */
    StopPlan beginStop() {
        StopPlan plan = new StopPlan(clock.millis(), settings.bounds().stopMillis());
        stopPlan = plan;
        LOG.info("sidecar: host {} is stopping", settings.host());
        controlLoop.execute(controlPlane::beginStop);
        trafficLoop.execute(() -> {
            callerServer.requestClose();
            gate.stop();
        });
        return plan;
    }

    /** Returns whether answers to callers or other nodes are pending or unwritten. */
    boolean isBusy() {
        return trafficLoop
                .submit(() -> callerServer.isBusy() || !gate.isIdle() || peers.hasUnwrittenAnswers())
                .awaitUninterruptibly()
                .getNow();
    }

    /** Returns whether the callers have received all responses, and notice that their connections end. */
    boolean isDelivered() {
        return trafficLoop
                .submit(callerServer::isDelivered)
                .awaitUninterruptibly()
                .getNow();
    }

    /** Stops listening for callers and closes their connections that have no unanswered request. */
    void stopAcceptingRequests() {
        trafficLoop.submit(callerServer::stopAccepting).awaitUninterruptibly();
    }

    /** Removes this node's entry from the store, closes all connections and stops the threads. */
    void terminate() {
        trafficLoop.submit(callerServer::abandonOpenRequests).awaitUninterruptibly();
        controlLoop.submit(controlPlane::deregister).awaitUninterruptibly();
        callerServer.close();
        endpoints.forEach(Endpoint::close);
        peers.close();
        trafficGroup.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).awaitUninterruptibly(200);
        store.close();
        controlGroup.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).awaitUninterruptibly(200);
        LOG.info("sidecar: host {} stopped", settings.host());
    }

    Clock clock() {
        return clock;
    }
}
