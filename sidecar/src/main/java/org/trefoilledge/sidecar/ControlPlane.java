package org.trefoilledge.sidecar;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import org.trefoilledge.core.Clock;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.Incarnation;
import org.trefoilledge.core.admission.AdmissionPlan;
import org.trefoilledge.core.placement.Candidate;
import org.trefoilledge.core.rate.ClaimPlanner;
import org.trefoilledge.core.rate.RateClaim;
import org.trefoilledge.core.routing.ConfigRefreshPolicy;
import org.trefoilledge.wire.PeerIdentity;
import org.trefoilledge.wire.generated.StatusAnswer;
import org.trefoilledge.wire.generated.StatusReport;
import org.trefoilledge.wire.generated.ZoneAnswer;
import org.trefoilledge.wire.generated.ZoneReport;

/**
 * The control state of a node: the configuration, the other nodes, the claims on rate limits, and the upstream on this
 * host. Publishes changes to the traffic thread. All methods except the constructor run on the control thread.
 */
@SuppressWarnings("FutureReturnValueIgnored") // the event loop logs tasks that fail
final class ControlPlane implements PeerRequestHandler.ReportReceiver {
    private static final long TICK_INTERVAL_MILLIS = 250;
    /** Interval at which the zone collectors exchange their aggregated loads. */
    private static final long ZONE_EXCHANGE_INTERVAL_MILLIS = 400;
    /** Delay before the first listing when the whole fleet starts, in which all nodes write their entries. */
    private static final long FIRST_START_LIST_DELAY_MILLIS = 1_500;
    /** Delay between following the store and claiming; before, other candidates for a claim may not be known yet. */
    private static final long CLAIM_DELAY_MILLIS = 500;

    private final SidecarSettings settings;
    private final Incarnation incarnation;
    private final EventLoop control;
    private final Clock clock;
    private final ConfigState configState;
    private final TrafficPlane traffic;
    private final RetryAllowance retryAllowance;
    private final Registration registration;
    private final StoreFollower follower;
    private final Directory directory;
    private final RateClaims claims;
    private final ZoneCollector collector;
    private final NodeReports reports;
    private final UpstreamWatch upstreamWatch;
    private final DepartureStore departures;
    private final ColdEntry coldEntry;
    private final EvacuationState evacuations;
    private LocalUpstream publishedUpstream;
    private boolean publishedCold;
    private boolean ownZoneEvacuated;
    private Map<RateClaim, TokenSource.Holder> publishedHolders = Map.of();
    private Set<HostId> publishedSilentHosts = Set.of();
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
            ConfigState configState,
            SidecarMetrics metrics,
            PeerLinks peers,
            TrafficPlane traffic) {
        this.settings = settings;
        this.incarnation = incarnation;
        this.control = control;
        this.clock = clock;
        this.configState = configState;
        this.traffic = traffic;
        boolean treeAdmission =
                settings.enabledFeatures(platform.features(settings.terms())).contains(Feature.TREE_ADMISSION);
        this.retryAllowance = new RetryAllowance(settings.bounds(), treeAdmission);
        StoreNotes notes = new StoreNotes(metrics);
        evacuations = new EvacuationState(settings.bounds().evacuationMillis().isPresent(), leaseClock);
        if (evacuations.isActive()) {
            startFollowingEvacuations(metrics);
        }
        registration = new Registration(control, store, notes, leaseClock, random, this::reloadDepartures);
        ClaimPlanner plan = new ClaimPlanner(settings.host(), incarnation, settings.zone(), settings.zones());
        claims = new RateClaims(
                settings.host(), incarnation, plan, store, notes, settings.firstStart(), leaseClock, traffic);
        directory = new Directory(settings.host(), settings.zone(), claims::applyChange);
        StartupConfig startupConfig = new StartupConfig(settings.firstStart(), directory);
        follower = new StoreFollower(
                control,
                store,
                notes,
                platform,
                configState,
                evacuations,
                directory,
                startupConfig,
                new ConfigRefreshPolicy(settings.bounds().outdatedMillis(), random),
                clock,
                random,
                new StoreListener());
        ConfigFetch configs =
                new ConfigFetch(control, peers, configState, follower::applyConfig, startupConfig::recordPeerVersion);
        collector = new ZoneCollector(
                settings.host(),
                settings.zone(),
                incarnation,
                peers,
                configState,
                evacuations,
                directory,
                configs,
                clock,
                retryAllowance.createPlanner());
        reports = new NodeReports(
                settings.host(),
                settings.zone(),
                peers,
                configState,
                evacuations,
                directory,
                collector,
                configs,
                clock,
                new TrafficLoad(traffic, control),
                new ReportEffects(),
                treeAdmission);
        upstreamWatch =
                new UpstreamWatch(settings.service(), settings.bounds().heartbeatMillis(), System::currentTimeMillis);
        coldEntry = new ColdEntry(settings, configState, traffic, leaseClock);
        departures = new DepartureStore(control, store, notes, settings.host(), random, this::restoreDepartures);
        publishedUpstream = LocalUpstream.none(settings.service());
        store.onRestore(() -> onRestore(notes, store.epoch()));
    }

    void start() {
        departures.load();
        registration.start(selfEntry());
        follower.start(settings.firstStart() ? FIRST_START_LIST_DELAY_MILLIS : 0);
        Repeated.scheduleWithFixedDelay(control, TICK_INTERVAL_MILLIS, this::tick);
        Repeated.scheduleWithFixedDelay(control, ZONE_EXCHANGE_INTERVAL_MILLIS, collector::reportToOtherZones);
    }

    /** Lets each owner of state in the store find out what a store that was restored from a backup has, and write the rest. */
    private void onRestore(StoreNotes notes, OptionalLong epoch) {
        notes.recordRestore(epoch);
        List<Runnable> owners = List.of(
                directory::onRestore,
                evacuations::onRestore,
                claims::onRestore,
                registration::onRestore,
                departures::onRestore,
                reports::resetDirectoryVersion,
                follower::onRestore);
        owners.forEach(Repeated::runAndLogErrors);
    }

    private void startFollowingEvacuations(SidecarMetrics metrics) {
        traffic.closeGate("it is not known yet whether the zone is evacuated");
        evacuations.onChange(this::applyEvacuations);
        metrics.registerGauge(
                "trefoilledge.evacuation.age",
                "Time since the read that returned the evacuated zones in milliseconds",
                evacuations::ageMillis);
        metrics.registerGauge("trefoilledge.evacuation.zones", "Number of evacuated zones", () -> evacuations
                .zones()
                .size());
    }

    /** Returns whether the directory of nodes is complete and the evacuated zones are known. */
    boolean ready() {
        return directory.complete() && evacuations.isKnown();
    }

    /**
     * Applies an announcement of the upstream on this host. The future completes with whether the announcement is valid;
     * if the upstream announces its end, once the store has recorded it.
     */
    CompletableFuture<Boolean> applyAnnouncement(Announcement announcement) {
        boolean valid = upstreamWatch.applyAnnouncement(announcement, clock.millis());
        upstreamWatch.takeNewest().ifPresent(coldEntry::announce);
        publishUpstreamIfChanged();
        return valid && announcement.announcesEnd()
                ? departures.save(upstreamWatch.departed()).thenApply(saved -> true)
                : CompletableFuture.completedFuture(valid);
    }

    /** Gives up the claims so that other nodes can take them over, and marks this node as not serving. */
    void beginStop() {
        stopping = true;
        registration.update(selfEntry());
        claims.releaseAll();
        publishCandidates();
    }

    /** Ends this node's lease, which removes its entry from the store. */
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

    private void reloadDepartures() {
        departures.load();
    }

    private void restoreDepartures(DepartedRuns earlier) {
        upstreamWatch.restoreDeparted(earlier);
        publishUpstreamIfChanged();
    }

    /**
     * Returns the state of the upstream. Until the store has told which runs have departed, the upstream counts as gone:
     * an earlier run of this node may have acknowledged its end.
     */
    private LocalUpstream effectiveUpstream() {
        return departures.loaded() ? upstreamWatch.current() : LocalUpstream.none(settings.service());
    }

    private void publishUpstreamIfChanged() {
        LocalUpstream current = effectiveUpstream();
        boolean cold = current.serving() && coldEntry.isCold();
        if (current.equals(publishedUpstream) && cold == publishedCold) {
            return;
        }
        if (!current.equals(publishedUpstream)) {
            publishedUpstream = current;
            traffic.setUpstream(current);
        }
        publishedCold = cold;
        registration.update(selfEntry());
        publishCandidates();
    }

    private void applyEvacuations() {
        boolean evacuated = evacuations.includes(settings.zone());
        if (evacuated) {
            traffic.closeGate("the zone is evacuated");
        } else {
            traffic.openGate(ownZoneEvacuated);
        }
        ownZoneEvacuated = evacuated;
        publishCandidates();
    }

    private Member selfEntry() {
        LocalUpstream upstream = effectiveUpstream();
        return new Member(
                settings.host(),
                settings.zone(),
                Sidecar.formatAddress(settings.peers()),
                incarnation,
                settings.service(),
                upstream.id(),
                upstream.slots(),
                upstream.serving() && !stopping,
                publishedCold);
    }

    private void publishMembers() {
        retryAllowance.publish(traffic, directory.others().size() + 1);
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
        EvacuationPlan plan = EvacuationPlan.of(candidates, evacuations.zones());
        traffic.setCandidates(plan.candidates());
        if (evacuations.isActive()) {
            traffic.setEmptiedServices(plan.emptiedServices());
        }
    }

    /** Publishes the holders of the claims, with their addresses, to the traffic thread. */
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
}
