package org.trefoilledge.sidecar;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.trefoilledge.core.Clock;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.Incarnation;
import org.trefoilledge.core.OrganisationId;
import org.trefoilledge.core.SuspensionClock;
import org.trefoilledge.core.admission.AdmissionGate;
import org.trefoilledge.core.admission.AdmissionPlan;
import org.trefoilledge.core.admission.NodeLoad;
import org.trefoilledge.core.placement.Candidate;
import org.trefoilledge.core.placement.PlacementSettings;
import org.trefoilledge.core.placement.Placer;
import org.trefoilledge.core.routing.CallerLimits;
import org.trefoilledge.core.routing.OrganisationPolicy;
import org.trefoilledge.core.routing.RoutingConfig;
import org.trefoilledge.core.share.RateShares;
import org.trefoilledge.wire.PeerIdentity;
import org.trefoilledge.wire.SocketTransport;
import org.trefoilledge.wire.generated.StatusAnswer;
import org.trefoilledge.wire.generated.StatusReport;

/**
 * One running sidecar: one thread for traffic and one for control state. The control thread hands what the traffic
 * thread needs over as immutable values.
 */
@SuppressWarnings("FutureReturnValueIgnored") // channel events and timers report how such an operation ended
public final class Sidecar implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(Sidecar.class);
    /** A key is trusted for this much less than the promised time, so that the check and the read may take a while. */
    private static final long REVOCATION_MARGIN_MILLIS = 400;
    /** Time for which a request waits for a token of another node; an answer within a region takes a few. */
    private static final long TOKEN_MILLIS = 30;

    private static final long TICK_MILLIS = 250;
    private static final long UPSTREAM_SWEEP_MILLIS = 1_000;
    /** Part of the fleet's allowance for repeats that is used; repeated requests repeat their own calls as well. */
    private static final double RETRY_PART = 0.3;

    private final SidecarSettings settings;
    private final Platform platform;
    private final Clock clock = Clock.system();
    private final Clock leaseClock = new SuspensionClock(clock, System::currentTimeMillis);
    private final Incarnation incarnation = new Incarnation(System.currentTimeMillis());
    private final RandomGenerator random = RandomGenerator.getDefault();
    private final EventLoopGroup trafficGroup = group("traffic");
    private final EventLoopGroup controlGroup = group("control");
    private final EventLoop traffic = (EventLoop) trafficGroup.next();
    private final EventLoop control = (EventLoop) controlGroup.next();
    private final Knowledge knowledge = new Knowledge(clock, System::currentTimeMillis);
    private final SidecarMetrics metrics = new SidecarMetrics();
    private final RateLimits limits = new RateLimits(clock);
    private final RateShares shares = new RateShares();
    private final AdmissionGate admission = new AdmissionGate();
    private final LoadTable loads = new LoadTable();
    private final RateDivision division;
    private final UpstreamWatch upstreamWatch;
    private final UpstreamPool pool;
    private final Gate gate;
    private final Placer placer;
    private final PeerLinks peers;
    private final Dispatcher dispatcher;
    private final CallerServer callers;
    private final KeyValueStore store;
    private final StoreFollower follower;
    private final StatusExchange exchange;
    private final List<Endpoint> endpoints = new ArrayList<>();
    private final MemberTable members;
    private volatile Map<OrganisationId, Double> shownTokens = Map.of();
    private volatile NodeLoad shownLoad;
    /** What the gate and the store were last told; control thread only. */
    private LocalUpstream shownUpstream;

    private volatile boolean stopping;
    private volatile boolean membersListed;

    private Sidecar(SidecarSettings settings, Platform platform) throws IOException {
        this.settings = settings;
        this.platform = platform;
        this.shownUpstream = LocalUpstream.none(settings.service());
        this.members = new MemberTable(settings.host());
        HeaderNames names = platform.headers();
        DecisionLog log = new DecisionLog(clock);
        division = new RateDivision(
                limits, shares, settings.bounds().limitOver(), settings.bounds().limitSlack(), clock.millis());
        upstreamWatch = new UpstreamWatch(settings.service(), settings.bounds().heartbeatMillis());
        BodyRoom room = BodyRoom.ofHeap();
        pool = new UpstreamPool(trafficGroup, settings.upstream(), names, room, clock);
        LoadMeter meter = new LoadMeter(settings.service(), clock);
        gate = new Gate(traffic, pool, LocalUpstream.none(settings.service()), meter, clock);
        placer = new Placer(settings.zone(), PlacementSettings.defaults(settings.host()));
        peers = new PeerLinks(
                new PeerIdentity(settings.host(), settings.zone(), incarnation),
                text(settings.peers()),
                new PeerRequests(gate, limits, knowledge, control, this::heard),
                trafficGroup);
        dispatcher = new Dispatcher(settings.host(), gate, peers, placer, traffic, clock, log, random);
        long keyAge = settings.bounds().revocationMillis() - REVOCATION_MARGIN_MILLIS;
        EntryHandler handler = new EntryHandler(
                EntryFilters.all(knowledge, names, keyAge),
                dispatcher,
                limits,
                admission,
                meter,
                names,
                settings.service(),
                knowledge,
                clock,
                log,
                metrics,
                random);
        limits.source(
                (lender, organisation, wanted) -> peers.tokens(lender.address(), organisation, wanted, TOKEN_MILLIS));
        callers = new CallerServer(trafficGroup, handler, this::callerLimits, room, clock);
        store = platform.openStore(settings.store(), control);
        follower = new StoreFollower(
                control,
                store,
                platform,
                knowledge,
                leaseClock,
                random,
                metrics,
                this::membersChanged,
                this::configChanged);
        exchange = new StatusExchange(
                control,
                peers,
                incarnation,
                knowledge,
                shares,
                clock,
                leaseClock,
                hosts -> traffic.execute(() -> dispatcher.unreachable(hosts)),
                follower::learn);
    }

    /**
     * Starts a sidecar.
     *
     * @throws IOException if an address cannot be listened on
     */
    public static Sidecar start(SidecarSettings settings, Platform platform) throws IOException {
        Sidecar sidecar = new Sidecar(settings, platform);
        sidecar.listen();
        LOG.info("sidecar: host {} started", settings.host());
        return sidecar;
    }

    private void listen() throws IOException {
        metrics.gauge("trefoilledge.config.age", "Age of the configuration in milliseconds", knowledge::ageMillis);
        metrics.gauge("trefoilledge.config.version", "Version of the configuration", knowledge::version);
        endpoints.add(new Endpoint(
                settings.operators(),
                controlGroup,
                (method, path, body) -> new Endpoint.Reply(200, "text/plain", metrics.text())));
        endpoints.add(new Endpoint(
                settings.ready(), controlGroup, (method, path, body) -> Endpoint.Reply.empty(ready() ? 200 : 503)));
        endpoints.add(new Endpoint(settings.announcements(), controlGroup, this::announced));
        callers.listen(settings.callers());
        control.execute(() -> {
            follower.start(self());
            exchange.start(
                    new OwnDemand(),
                    this::applyShares,
                    (host, tokens) -> traffic.execute(() -> limits.heard(host, tokens)),
                    (host, load) -> loads.heard(host, load, clock.millis()));
        });
        control.scheduleWithFixedDelay(this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
        traffic.scheduleWithFixedDelay(
                pool::sweep, UPSTREAM_SWEEP_MILLIS, UPSTREAM_SWEEP_MILLIS, TimeUnit.MILLISECONDS);
    }

    private boolean ready() {
        long keyAge = settings.bounds().revocationMillis() - REVOCATION_MARGIN_MILLIS;
        return !stopping && membersListed && knowledge.ageMillis() <= keyAge;
    }

    private Endpoint.Reply announced(String method, String path, byte[] body) {
        Announcement announcement = platform.readAnnouncement(method, path, body);
        if (announcement instanceof Announcement.Invalid invalid) {
            LOG.info("upstream: ignored an announcement: {}", invalid.reason());
            return Endpoint.Reply.empty(400);
        }
        boolean understood = upstreamWatch.announced(announcement, clock.millis());
        upstreamChanged();
        return Endpoint.Reply.empty(understood ? 200 : 400);
    }

    private void tick() {
        upstreamWatch.tick(clock.millis());
        upstreamChanged();
        if (members.forgetVanished(clock.millis(), host -> shares.holds(host, clock.millis()))) {
            showMembers();
        }
    }

    private void upstreamChanged() {
        LocalUpstream current = upstreamWatch.current();
        if (current.equals(shownUpstream)) {
            return;
        }
        shownUpstream = current;
        traffic.execute(() -> gate.upstream(current));
        follower.update(self());
        placeMembers();
    }

    private Member self() {
        LocalUpstream upstream = upstreamWatch.current();
        return new Member(
                settings.host(),
                settings.zone(),
                text(settings.peers()),
                incarnation,
                settings.service(),
                upstream.id(),
                upstream.slots(),
                upstream.serving() && !stopping);
    }

    private void membersChanged(Map<HostId, Member> current) {
        members.listed(current, clock.millis());
        membersListed = true;
        showMembers();
    }

    private void showMembers() {
        Map<HostId, Member> others = members.others();
        exchange.members(others);
        double nodes = others.size() + 1.0;
        double ratio = settings.bounds().retryRatio() * RETRY_PART;
        double reserve = settings.bounds().retrySlack() * RETRY_PART / nodes;
        Map<HostId, RateLimits.Lender> lenders = new HashMap<>();
        others.forEach((host, member) -> lenders.put(
                host, new RateLimits.Lender(member.peers(), member.zone().equals(settings.zone()))));
        traffic.execute(() -> {
            dispatcher.retryBudget(ratio, reserve);
            limits.lenders(lenders);
        });
        placeMembers();
    }

    private void placeMembers() {
        List<Candidate> candidates = new ArrayList<>();
        Member self = self();
        members.others().values().stream()
                .filter(Member::serving)
                .map(Member::candidate)
                .forEach(candidates::add);
        if (self.serving()) {
            candidates.add(self.candidate());
        }
        placer.update(candidates);
    }

    private void configChanged() {
        knowledge.config().ifPresent(config -> {
            Map<OrganisationId, Double> weights = new HashMap<>();
            for (OrganisationPolicy policy : config.organisations().values()) {
                weights.put(policy.id(), Math.max(1, policy.ratePerSecond()));
            }
            traffic.execute(() -> gate.weights(weights));
            applyShares();
        });
    }

    private final class OwnDemand implements StatusExchange.Demands {
        @Override
        public Map<OrganisationId, Double> perSecond() {
            return knowledge
                    .config()
                    .map(config -> division.measure(config, nodes(), clock.millis()))
                    .orElse(Map.of());
        }

        @Override
        public Map<OrganisationId, Double> tokens() {
            return shownTokens;
        }

        @Override
        public NodeLoad load() {
            NodeLoad load = shownLoad;
            return load != null ? load : new NodeLoad(settings.service(), 0, 0, 0, Map.of(), Map.of());
        }
    }

    private void applyShares() {
        knowledge.config().ifPresent(config -> {
            shares.listedUntil(follower.listedUntilMillis());
            Map<OrganisationId, RateLimits.Part> parts = division.parts(config, nodes(), leaseClock.millis());
            NodeLoad own = shownLoad;
            if (own != null) {
                loads.heard(settings.host(), own, clock.millis());
            }
            AdmissionPlan plan = loads.plan(config, exchange.intervalMillis(), clock.millis());
            traffic.execute(() -> {
                limits.configure(parts);
                admission.plan(plan);
                shownTokens = limits.tokens();
                shownLoad = gate.sample();
            });
        });
    }

    private int nodes() {
        return members.others().size() + 1;
    }

    private CallerLimits callerLimits() {
        return knowledge.config().map(RoutingConfig::limits).orElse(CallerLimits.DEFAULT);
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private static EventLoopGroup group(String name) {
        return new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory(name, true), SocketTransport.ioHandler());
    }

    /** Stops in an orderly way: refuses new work, lets running requests end, and removes this node's entry. */
    @Override
    public void close() {
        new Shutdown(this).run();
    }

    /** The steps of a planned stop, for {@link Shutdown}. */
    void beginStop() {
        stopping = true;
        LOG.info("sidecar: host {} stops", settings.host());
        control.execute(() -> follower.update(self()));
        control.execute(this::placeMembers);
        traffic.execute(() -> {
            callers.stopping();
            gate.stop();
        });
    }

    int openRequests() {
        return traffic.submit(() -> callers.openRequests() + (gate.idle() ? 0 : 1))
                .awaitUninterruptibly()
                .getNow();
    }

    void refuseWork() {
        traffic.submit(callers::refuseWork).awaitUninterruptibly();
    }

    void end() {
        control.submit(follower::leave).awaitUninterruptibly();
        callers.close();
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

    long stopMillis() {
        return settings.bounds().stopMillis();
    }

    private StatusAnswer heard(PeerIdentity from, StatusReport report) {
        return exchange.heard(from, report);
    }
}
