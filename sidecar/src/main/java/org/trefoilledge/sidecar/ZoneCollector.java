package org.trefoilledge.sidecar;

import com.google.protobuf.UnsafeByteOperations;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.trefoilledge.core.Clock;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.Incarnation;
import org.trefoilledge.core.ZoneId;
import org.trefoilledge.core.admission.AdmissionPlan;
import org.trefoilledge.core.admission.AdmissionPlanner;
import org.trefoilledge.core.admission.NodeLoad;
import org.trefoilledge.wire.generated.AdmittedPart;
import org.trefoilledge.wire.generated.DirectoryEntry;
import org.trefoilledge.wire.generated.StatusAnswer;
import org.trefoilledge.wire.generated.StatusReport;
import org.trefoilledge.wire.generated.ZoneAnswer;
import org.trefoilledge.wire.generated.ZoneReport;

/**
 * Collects the load reports of the nodes of its zone and exchanges sums with the collectors of the other zones. Its
 * answers to the nodes contain the admission plan, the silent hosts, the version of the configuration and changes of
 * the directory. Every node can be the collector; the nodes of a zone choose the same one as long as they know the same
 * nodes. Used on the control thread.
 */
final class ZoneCollector {
    private static final Logger LOG = LoggerFactory.getLogger(ZoneCollector.class);
    /** Shortest time between two plans; reports, which each node sends several times a second, trigger them. */
    private static final long PLAN_INTERVAL_MILLIS = 200;

    private static final long ANSWER_TIMEOUT_MILLIS = 500;
    /** Time for which a collector of another zone that did not answer is skipped. */
    private static final long COLLECTOR_BACKOFF_MILLIS = 2_000;
    /** Time for which a node without an entry in the store stays a member after its last report. */
    private static final long UNLISTED_MEMBER_MILLIS = 6_000;

    private final HostId self;
    private final ZoneId zone;
    private final long directorySource;
    private final PeerLinks peers;
    private final ConfigState knowledge;
    private final EvacuationState evacuations;
    private final Directory directory;
    private final ConfigFetch configs;
    private final Clock clock;
    private final ZoneLoads loads;
    private final Map<HostId, Long> backoffUntil = new HashMap<>();
    /** Whether the last plan limits classes by retries. */
    private boolean limitedByRetries;

    private List<AdmittedPart> admittedParts = List.of();
    private List<String> silentHosts = List.of();
    private long lastPlanMillis = Long.MIN_VALUE / 2;
    /** Whether this node reads the store itself, so that it can send its directory to others. */
    private boolean watchingStore;

    ZoneCollector(
            HostId self,
            ZoneId zone,
            Incarnation incarnation,
            PeerLinks peers,
            ConfigState knowledge,
            EvacuationState evacuations,
            Directory directory,
            ConfigFetch configs,
            Clock clock,
            AdmissionPlanner planner) {
        this.self = self;
        this.zone = zone;
        this.directorySource = Directory.versionSource(self, incarnation);
        this.peers = peers;
        this.knowledge = knowledge;
        this.evacuations = evacuations;
        this.directory = directory;
        this.configs = configs;
        this.clock = clock;
        this.loads = new ZoneLoads(zone, planner);
    }

    /** Sets whether this node reads the store itself. */
    void watchingStore(boolean current) {
        watchingStore = current;
    }

    /** Returns whether nodes report to this one. */
    boolean isCollecting() {
        return loads.hasRecentReports(clock.millis());
    }

    /** Returns whether a node has reported in the last seconds, to this node or to the collector of its zone. */
    boolean reportedRecently(HostId host) {
        return loads.reportedWithin(host, UNLISTED_MEMBER_MILLIS, clock.millis());
    }

    /** Records the report of a node of this zone, this node included, and returns the answer. */
    StatusAnswer receiveReport(HostId from, StatusReport report) {
        long now = clock.millis();
        loads.recordReport(from, LoadMessages.toLoad(report.getUpstream()), now);
        Member member = directory.others().get(from);
        if (member != null) {
            configs.fetchIfNewer(member.peerAddress(), report.getConfigVersion());
        }
        if (report.hasEvacuation() && !from.equals(self)) {
            evacuations.receiveReport(report.getEvacuation());
        }
        updatePlanIfDue(now);
        StatusAnswer.Builder answer = StatusAnswer.newBuilder()
                .setConfigVersion(knowledge.version())
                .setConfigAgeMillis((int) knowledge.ageMillis())
                .addAllAdmitted(admittedParts)
                .addAllSilentHosts(silentHosts);
        evacuations.message().ifPresent(answer::setEvacuation);
        if (watchingStore && directory.complete() && !from.equals(self)) {
            long knownVersion = report.getDirectorySource() == directorySource ? report.getDirectoryVersion() : 0;
            addDirectory(answer, directory.changesSince(knownVersion));
        }
        return answer.build();
    }

    /** Updates the admission plan and the silent hosts, which are the same for all nodes. */
    private void updatePlanIfDue(long now) {
        if (now - lastPlanMillis < PLAN_INTERVAL_MILLIS) {
            return;
        }
        lastPlanMillis = now;
        AdmissionPlan plan =
                knowledge.config().map(config -> loads.plan(config, now)).orElse(AdmissionPlan.ADMIT_ALL);
        logRetryLimit(plan);
        admittedParts = LoadMessages.toMessage(plan);
        silentHosts = loads.silentNodes(directory.others(), now).stream()
                .map(HostId::value)
                .toList();
    }

    /** Logs when the limit of call trees by retries begins or ends. */
    private void logRetryLimit(AdmissionPlan plan) {
        boolean limits = !plan.limitedByRetries().isEmpty();
        if (limits && !limitedByRetries) {
            LOG.info("plan: upstreams reject calls; limited by the retries left are {}", plan.limitedByRetries());
        } else if (!limits && limitedByRetries) {
            LOG.info("plan: no class is limited by retries any more");
        }
        limitedByRetries = limits;
    }

    private void addDirectory(StatusAnswer.Builder answer, Directory.Update update) {
        answer.setDirectorySource(directorySource)
                .setDirectoryVersion(update.version())
                .setDirectoryWhole(update.full());
        for (KeyValueStore.Change change : update.changes()) {
            DirectoryEntry.Builder entry = DirectoryEntry.newBuilder().setKey(change.key());
            change.item().ifPresent(item -> entry.setValue(UnsafeByteOperations.unsafeWrap(item.value()))
                    .setRevision(item.revision()));
            answer.addDirectory(entry);
        }
    }

    /** Records the sums of another zone, and returns the answer. */
    ZoneAnswer receiveReport(HostId from, ZoneId fromZone, ZoneReport report) {
        List<NodeLoad> sums = new ArrayList<>();
        report.getLoadsList().forEach(load -> sums.add(LoadMessages.toLoad(load)));
        loads.recordReport(
                fromZone,
                sums,
                parseHosts(report.getSilentHostsList()),
                parseHosts(report.getUnlistedHostsList()),
                clock.millis());
        Member member = directory.others().get(from);
        if (member != null) {
            configs.fetchIfNewer(member.peerAddress(), report.getConfigVersion());
        }
        if (report.hasEvacuation()) {
            evacuations.receiveReport(report.getEvacuation());
        }
        ZoneAnswer.Builder answer = ZoneAnswer.newBuilder()
                .setConfigVersion(knowledge.version())
                .setConfigAgeMillis((int) knowledge.ageMillis());
        evacuations.message().ifPresent(answer::setEvacuation);
        return answer.build();
    }

    /** Parses host names; logs and leaves out invalid ones. */
    static Set<HostId> parseHosts(List<String> names) {
        Set<HostId> hosts = new HashSet<>();
        for (String name : names) {
            try {
                hosts.add(new HostId(name));
            } catch (IllegalArgumentException e) {
                LOG.warn("peer: ignored the host name {}", name);
            }
        }
        return hosts;
    }

    /** Sends the sums of this zone to the collectors of the other zones, if nodes report to this one. */
    void reportToOtherZones() {
        long now = clock.millis();
        Map<HostId, Member> others = directory.others();
        if (!loads.hasRecentReports(now)) {
            return;
        }
        Set<HostId> members = new HashSet<>(others.keySet());
        members.add(self);
        loads.retainNodes(members);
        ZoneReport.Builder report = ZoneReport.newBuilder()
                .setConfigVersion(knowledge.version())
                .setConfigAgeMillis((int) knowledge.ageMillis());
        evacuations.message().ifPresent(report::setEvacuation);
        loads.ownZoneSums(now).forEach(load -> report.addLoads(LoadMessages.toMessage(load)));
        loads.silentInOwnZone(others, now).forEach(host -> report.addSilentHosts(host.value()));
        directory.vanishedHosts().stream()
                .filter(this::reportedRecently)
                .forEach(host -> report.addUnlistedHosts(host.value()));
        ZoneReport zoneReport = report.build();
        directory.zoneByHost().values().stream()
                .distinct()
                .filter(other -> !other.equals(zone))
                .forEach(other -> collectorOf(other, now).ifPresent(member -> send(member, zoneReport)));
    }

    /** Returns the first delegate of a zone that is not skipped, or its first delegate if all are skipped. */
    private Optional<Member> collectorOf(ZoneId other, long now) {
        List<HostId> delegates = directory.delegates(other);
        return delegates.stream()
                .filter(host -> now >= backoffUntil.getOrDefault(host, now))
                .findFirst()
                .or(() -> delegates.stream().findFirst())
                .map(host -> directory.others().get(host));
    }

    private void send(Member member, ZoneReport report) {
        ConfigState.Timestamp sent = knowledge.now();
        long sentMillis = evacuations.now();
        configs.completeOnControlThread(
                peers.sendZoneReport(member.peerAddress(), report, ANSWER_TIMEOUT_MILLIS), (answer, error) -> {
                    if (error != null) {
                        LOG.info("peer: {}, collector of zone {}, does not answer", member.host(), member.zone());
                        backoffUntil.put(member.host(), clock.millis() + COLLECTOR_BACKOFF_MILLIS);
                        return;
                    }
                    backoffUntil.remove(member.host());
                    if (answer.hasEvacuation()) {
                        evacuations.receive(answer.getEvacuation(), sentMillis);
                    }
                    configs.confirmOrFetch(
                            member.peerAddress(), answer.getConfigVersion(), sent.minus(answer.getConfigAgeMillis()));
                });
    }
}
