package org.trefoilledge.sidecar;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import org.trefoilledge.core.Clock;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.Incarnation;
import org.trefoilledge.core.admission.AdmissionPlan;
import org.trefoilledge.core.admission.NodeLoad;
import org.trefoilledge.core.placement.Candidate;
import org.trefoilledge.core.rate.ClaimPlanner;
import org.trefoilledge.core.rate.RateClaim;
import org.trefoilledge.wire.PeerIdentity;
import org.trefoilledge.wire.generated.StatusAnswer;
import org.trefoilledge.wire.generated.StatusReport;
import org.trefoilledge.wire.generated.ZoneAnswer;
import org.trefoilledge.wire.generated.ZoneReport;

/**
 * The control thread of a node: what it knows of the configuration, the other nodes, the claims on rates and its own
 * upstream, and what the traffic thread is told of it. All methods but the constructor run on the control thread.
 */
@SuppressWarnings("FutureReturnValueIgnored") // a task that fails is logged by the event loop
final class ControlPlane implements PeerRequestHandler.ReportReceiver {
    private static final long TICK_INTERVAL_MILLIS = 250;
    /** Interval at which the collectors of the zones tell each other their sums. */
    private static final long ZONE_EXCHANGE_INTERVAL_MILLIS = 400;
    /** Part of the fleet's allowance for repeats that is used; repeated requests repeat their own calls as well. */
    private static final double RETRY_BUDGET_SHARE = 0.3;
    /** Time for all nodes of a fleet that starts for the first time to write their entries. */
    private static final long FIRST_START_LIST_DELAY_MILLIS = 1_500;
    /** A node that has just begun to follow the store may not know the other candidates for a claim yet. */
    private static final long CLAIM_DELAY_MILLIS = 500;
    /** A node that starts while the store is away does not wait longer for what its earlier run has left there. */
    private static final long PREVIOUS_ENTRY_TIMEOUT_MILLIS = 1_500;

    private final SidecarSettings settings;
    private final Incarnation incarnation;
    private final EventLoop control;
    private final Clock clock;
    private final ConfigState configState;
    private final TrafficPlane traffic;
    private final Registration registration;
    private final StoreFollower follower;
    private final Directory directory;
    private final RateClaims claims;
    private final ZoneCollector collector;
    private final NodeReports reports;
    private final UpstreamWatch upstreamWatch;
    private LocalUpstream publishedUpstream;
    private Map<RateClaim, TokenSource.Holder> publishedHolders = Map.of();
    private Set<HostId> publishedSilentHosts = Set.of();
    private final long startedMillis;
    private long followingSinceMillis;
    private boolean stopping;

    ControlPlane(
            SidecarSettings settings,
            Platform platform,
            KeyValueStore store,
            Incarnation incarnation,
            EventLoop control,
            Clock clock,
            Clock leaseClock,
            RandomGenerator random,
            ConfigState knowledge,
            SidecarMetrics metrics,
            PeerLinks peers,
            TrafficPlane traffic) {
        this.settings = settings;
        this.incarnation = incarnation;
        this.control = control;
        this.clock = clock;
        this.startedMillis = clock.millis();
        this.configState = knowledge;
        this.traffic = traffic;
        StoreNotes notes = new StoreNotes(metrics);
        registration = new Registration(control, store, notes, leaseClock, random, this::restorePreviousEntry);
        ClaimPlanner plan = new ClaimPlanner(settings.host(), incarnation, settings.zone(), settings.zones());
        claims = new RateClaims(settings.host(), incarnation, plan, store, notes, new ClaimEffects());
        directory = new Directory(settings.host(), settings.zone(), claims::applyChange);
        follower = new StoreFollower(
                control, store, notes, platform, knowledge, directory, clock, random, new StoreListener());
        ConfigFetch configs = new ConfigFetch(control, peers, knowledge, follower::applyConfig);
        collector = new ZoneCollector(
                settings.host(), settings.zone(), incarnation, peers, knowledge, directory, configs, clock);
        reports = new NodeReports(
                settings.host(),
                settings.zone(),
                peers,
                knowledge,
                directory,
                collector,
                configs,
                clock,
                new TrafficLoad(),
                new ReportEffects());
        upstreamWatch = new UpstreamWatch(settings.service(), settings.bounds().heartbeatMillis());
        publishedUpstream = LocalUpstream.none(settings.service());
    }

    void start() {
        registration.start(selfEntry());
        follower.start(settings.firstStart() ? FIRST_START_LIST_DELAY_MILLIS : 0);
        Repeated.scheduleWithFixedDelay(control, TICK_INTERVAL_MILLIS, this::tick);
        Repeated.scheduleWithFixedDelay(control, ZONE_EXCHANGE_INTERVAL_MILLIS, collector::reportToOtherZones);
    }

    /** Returns whether all other nodes are known. */
    boolean ready() {
        return directory.complete();
    }

    /** Takes what the upstream on this host says of itself; returns whether it could be understood. */
    boolean applyAnnouncement(Announcement announcement) {
        boolean understood = upstreamWatch.applyAnnouncement(announcement, clock.millis());
        publishUpstreamIfChanged();
        return understood;
    }

    /** Gives up what others can take over, and tells them to send nothing more. */
    void beginStop() {
        stopping = true;
        registration.update(selfEntry());
        claims.releaseAll();
        publishCandidates();
    }

    /** Removes this node's entry. */
    void deregister() {
        registration.deregister();
    }

    @Override
    public StatusAnswer receiveReport(PeerIdentity from, StatusReport report) {
        return collector.receiveReport(from.host(), report);
    }

    @Override
    public ZoneAnswer receiveReport(PeerIdentity from, ZoneReport report) {
        return collector.receiveReport(from.host(), from.zone(), report);
    }

    private void tick() {
        upstreamWatch.checkHeartbeatTimeout(clock.millis());
        publishUpstreamIfChanged();
        if (directory.removeVanished(clock.millis(), collector::reportedRecently)) {
            publishMembers();
        }
        if (!directory.complete()) {
            reports.restartDirectoryTimeout();
            return;
        }
        setFollowingStore(reports.needsStore());
        reports.tick();
        boolean mayClaim =
                follower.isWatching() && !stopping && clock.millis() - followingSinceMillis >= CLAIM_DELAY_MILLIS;
        claims.tick(
                registration.leaseId(),
                registration.validUntilMillis(),
                mayClaim ? directory.zoneByHost() : Map.of(),
                clock.millis());
        publishHoldersIfChanged();
    }

    private void setFollowingStore(boolean wanted) {
        if (wanted && !follower.isWatching()) {
            followingSinceMillis = clock.millis();
        }
        follower.watching(wanted);
        collector.watchingStore(wanted);
        follower.collecting(collector.isCollecting());
        if (wanted) {
            reports.resetDirectoryVersion();
        }
    }

    private void restorePreviousEntry(Member past) {
        if (past.drainingRunStartMillis() > 0) {
            upstreamWatch.restoreDrained(past.upstreamId(), past.drainingRunStartMillis());
            publishUpstreamIfChanged();
        }
    }

    /** Returns the upstream once it is known whether it had already left when an earlier run of this node ended. */
    private LocalUpstream effectiveUpstream() {
        boolean known =
                registration.previousEntryChecked() || clock.millis() - startedMillis > PREVIOUS_ENTRY_TIMEOUT_MILLIS;
        return known ? upstreamWatch.current() : LocalUpstream.none(settings.service());
    }

    private void publishUpstreamIfChanged() {
        LocalUpstream current = effectiveUpstream();
        if (current.equals(publishedUpstream)) {
            return;
        }
        publishedUpstream = current;
        traffic.setUpstream(current);
        registration.update(selfEntry());
        publishCandidates();
    }

    private Member selfEntry() {
        LocalUpstream upstream = effectiveUpstream();
        return new Member(
                settings.host(),
                settings.zone(),
                Sidecar.text(settings.peers()),
                incarnation,
                settings.service(),
                upstream.id(),
                upstream.slots(),
                upstream.serving() && !stopping,
                upstreamWatch.drainingRunStartMillis());
    }

    private void publishMembers() {
        double nodes = directory.others().size() + 1.0;
        double reserve = settings.bounds().retrySlack() * RETRY_BUDGET_SHARE / nodes;
        traffic.setRetryBudget(settings.bounds().retryRatio() * RETRY_BUDGET_SHARE, reserve);
        publishCandidates();
        publishHoldersIfChanged();
    }

    private void publishCandidates() {
        List<Candidate> candidates = new ArrayList<>();
        Member self = selfEntry();
        directory.others().values().stream()
                .filter(Member::serving)
                .map(Member::toCandidate)
                .forEach(candidates::add);
        if (self.serving()) {
            candidates.add(self.toCandidate());
        }
        traffic.setCandidates(candidates);
    }

    /** Tells the traffic thread at which addresses the holders of the claims are asked. */
    private void publishHoldersIfChanged() {
        Map<RateClaim, TokenSource.Holder> holders = new HashMap<>();
        claims.holders().forEach((claim, holder) -> {
            Member member = directory.others().get(holder.host());
            if (member != null) {
                holders.put(claim, new TokenSource.Holder(holder.host(), member.peerAddress()));
            }
        });
        if (!holders.equals(publishedHolders)) {
            publishedHolders = holders;
            traffic.setClaimHolders(holders);
        }
    }

    private final class StoreListener implements StoreFollower.Listener {
        @Override
        public void onDirectoryChanged() {
            publishMembers();
        }

        @Override
        public void onConfigChanged() {
            configState.config().ifPresent(traffic::applyConfig);
        }

        @Override
        public void onConfigRead() {
            collector.reportToOtherZones();
        }
    }

    private final class TrafficLoad implements NodeReports.LoadSource {
        @Override
        public boolean underPressure() {
            return traffic.isUnderPressure();
        }

        @Override
        public NodeLoad nextLoad() {
            return traffic.pollLoad();
        }
    }

    private final class ReportEffects implements NodeReports.Listener {
        @Override
        public void planReceived(AdmissionPlan plan) {
            traffic.setAdmissionPlan(plan);
        }

        @Override
        public void silentHostsReceived(Set<HostId> hosts) {
            if (!hosts.equals(publishedSilentHosts)) {
                publishedSilentHosts = hosts;
                traffic.setUnreachableHosts(hosts);
            }
        }

        @Override
        public void directoryChanged() {
            publishMembers();
        }
    }

    private final class ClaimEffects implements RateClaims.ClaimHandler {
        @Override
        public void hold(RateClaim claim, long untilMillis) {
            traffic.holdClaim(claim, untilMillis);
        }

        @Override
        public CompletableFuture<Void> release(RateClaim claim) {
            return traffic.releaseClaim(claim);
        }
    }
}
