package org.trefoilledge.sidecar;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.trefoilledge.core.Clock;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.ZoneId;
import org.trefoilledge.core.admission.AdmissionPlan;
import org.trefoilledge.core.admission.NodeLoad;
import org.trefoilledge.core.admission.ReportThrottle;
import org.trefoilledge.wire.generated.DirectoryEntry;
import org.trefoilledge.wire.generated.StatusAnswer;
import org.trefoilledge.wire.generated.StatusReport;

/**
 * Reports this node's load to the collector of its zone and applies the answers: the admission plan, the silent hosts,
 * the version of the configuration and changes of the directory. A collector that does not answer is skipped for a
 * while. Used on the control thread.
 */
final class NodeReports {
    private static final Logger LOG = LoggerFactory.getLogger(NodeReports.class);
    private static final long ANSWER_TIMEOUT_MILLIS = 400;
    /** Time for which a collector that did not answer is skipped. */
    private static final long COLLECTOR_BACKOFF_MILLIS = 800;
    /** Time without a directory from a collector after which this node reads the store itself. */
    private static final long DIRECTORY_TIMEOUT_MILLIS = 1_500;
    /** Time without a plan from a collector after which all requests are admitted. */
    private static final long PLAN_EXPIRY_MILLIS = 3_000;

    private final HostId self;
    private final ZoneId zone;
    private final PeerLinks peers;
    private final ConfigState knowledge;
    private final EvacuationState evacuations;
    private final Directory directory;
    private final ZoneCollector collector;
    private final ConfigFetch configs;
    private final Clock clock;
    private final LoadSource loadSource;
    private final Listener listener;
    /** Whether reports under pressure contain a load that is sampled for them. */
    private final boolean samplesUnderPressure;

    private final ReportThrottle pace = new ReportThrottle();
    private final Map<HostId, Long> backoffUntil = new HashMap<>();
    private long directorySource;
    private long directoryVersion;
    private long directoryWaitStartMillis;
    private long lastAnswerMillis = Long.MIN_VALUE / 2;
    private boolean awaitingAnswer;
    /** Whether the plan in force refuses requests. */
    private boolean limiting;

    private boolean needsStore;

    /** Provides the load of this node. */
    interface LoadSource {
        /** Returns whether the load should be reported at the next tick. */
        boolean underPressure();

        /** Returns the load of the last complete interval, and ends the current one. */
        NodeLoad nextLoad();

        /** Ends the current interval, and passes its load to the receiver later. */
        void sampleLoad(Consumer<NodeLoad> receiver);
    }

    /** Receives the contents of a collector's answers. */
    interface Listener {
        /** Also called with {@link AdmissionPlan#ADMIT_ALL} when the last plan has expired. */
        void planReceived(AdmissionPlan plan);

        void silentHostsReceived(Set<HostId> hosts);

        void directoryChanged();
    }

    NodeReports(
            HostId self,
            ZoneId zone,
            PeerLinks peers,
            ConfigState knowledge,
            EvacuationState evacuations,
            Directory directory,
            ZoneCollector collector,
            ConfigFetch configs,
            Clock clock,
            LoadSource loadSource,
            Listener listener,
            boolean samplesUnderPressure) {
        this.self = self;
        this.zone = zone;
        this.peers = peers;
        this.knowledge = knowledge;
        this.evacuations = evacuations;
        this.directory = directory;
        this.collector = collector;
        this.configs = configs;
        this.clock = clock;
        this.loadSource = loadSource;
        this.listener = listener;
        this.samplesUnderPressure = samplesUnderPressure;
        this.directoryWaitStartMillis = clock.millis();
    }

    /** Restarts the time after which this node, without a directory from a collector, reads the store itself. */
    void restartDirectoryTimeout() {
        directoryWaitStartMillis = clock.millis();
    }

    /**
     * Returns whether this node has to read the store itself: because it is the collector of its zone, or because no
     * collector has sent a directory in time. Once true, it stays true until a collector sends a directory.
     */
    boolean needsStore() {
        long now = clock.millis();
        needsStore |= collector(now).equals(self) || now - directoryWaitStartMillis > DIRECTORY_TIMEOUT_MILLIS;
        return needsStore;
    }

    /** Returns the first delegate of the zone that is not skipped, or this node if there is none. */
    private HostId collector(long now) {
        return directory.delegates(zone).stream()
                .filter(host -> now >= backoffUntil.getOrDefault(host, now))
                .findFirst()
                .orElse(self);
    }

    /** Sends a report, unless the last one is not answered yet or none is due. */
    void tick() {
        long now = clock.millis();
        if (now - lastAnswerMillis > PLAN_EXPIRY_MILLIS) {
            applyPlan(AdmissionPlan.ADMIT_ALL);
        }
        boolean underPressure = loadSource.underPressure();
        if (awaitingAnswer || !pace.shouldReport(underPressure, limiting)) {
            return;
        }
        if (samplesUnderPressure && underPressure) {
            // The load of the last complete interval would be older by one tick, in which failing services use up
            // retries.
            awaitingAnswer = true;
            loadSource.sampleLoad(load -> {
                awaitingAnswer = false;
                reportLoad(clock.millis(), load);
            });
        } else {
            reportLoad(now, loadSource.nextLoad());
        }
    }

    private void applyPlan(AdmissionPlan plan) {
        limiting = !plan.admittedFractions().isEmpty();
        listener.planReceived(plan);
    }

    private void reportLoad(long now, NodeLoad load) {
        HostId collectorHost = collector(now);
        StatusReport.Builder builder = StatusReport.newBuilder()
                .setConfigVersion(knowledge.version())
                .setConfigAgeMillis((int) knowledge.ageMillis())
                .setUpstream(LoadMessages.toMessage(load))
                .setDirectorySource(directorySource)
                .setDirectoryVersion(directoryVersion);
        evacuations.message().ifPresent(builder::setEvacuation);
        StatusReport report = builder.build();
        if (collectorHost.equals(self)) {
            applyAnswer(collector.receiveReport(self, report));
        } else {
            send(directory.others().get(collectorHost), report);
        }
    }

    private void send(Member member, StatusReport report) {
        ConfigState.Timestamp sent = knowledge.now();
        long sentMillis = evacuations.now();
        awaitingAnswer = true;
        configs.completeOnControlThread(
                peers.sendReport(member.peerAddress(), report, ANSWER_TIMEOUT_MILLIS), (answer, error) -> {
                    awaitingAnswer = false;
                    if (error != null) {
                        LOG.info("peer: {}, collector of this zone, does not answer", member.host());
                        backoffUntil.put(member.host(), clock.millis() + COLLECTOR_BACKOFF_MILLIS);
                        return;
                    }
                    backoffUntil.remove(member.host());
                    configs.confirmOrFetch(
                            member.peerAddress(), answer.getConfigVersion(), sent.minus(answer.getConfigAgeMillis()));
                    if (answer.hasEvacuation()) {
                        evacuations.receive(answer.getEvacuation(), sentMillis);
                    }
                    applyAnswer(answer);
                    if (answer.getDirectorySource() != 0) {
                        applyDirectory(answer);
                    }
                });
    }

    private void applyAnswer(StatusAnswer answer) {
        lastAnswerMillis = clock.millis();
        applyPlan(LoadMessages.toPlan(answer.getAdmittedList()));
        listener.silentHostsReceived(ZoneCollector.parseHosts(answer.getSilentHostsList()));
    }

    private void applyDirectory(StatusAnswer answer) {
        directoryWaitStartMillis = clock.millis();
        needsStore = false;
        directorySource = answer.getDirectorySource();
        directoryVersion = answer.getDirectoryVersion();
        if (answer.getDirectoryWhole() || answer.getDirectoryCount() > 0) {
            List<KeyValueStore.Change> changes = new ArrayList<>();
            answer.getDirectoryList().forEach(entry -> changes.add(toChange(entry)));
            directory.applyUpdate(new Directory.Update(directoryVersion, answer.getDirectoryWhole(), changes));
            listener.directoryChanged();
        }
    }

    /**
     * Resets the version of the directory that is sent with reports, because this node now reads the store. The next
     * collector sends the whole directory.
     */
    void resetDirectoryVersion() {
        directorySource = 0;
        directoryVersion = 0;
    }

    private static KeyValueStore.Change toChange(DirectoryEntry entry) {
        Optional<KeyValueStore.Item> item = entry.getRevision() == 0
                ? Optional.empty()
                : Optional.of(
                        new KeyValueStore.Item(entry.getKey(), entry.getValue().toByteArray(), entry.getRevision()));
        return new KeyValueStore.Change(entry.getKey(), item);
    }
}
