package org.trefoilledge.sidecar;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.trefoilledge.core.Clock;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.ZoneId;
import org.trefoilledge.core.admission.AdmissionPlan;
import org.trefoilledge.core.admission.NodeLoad;
import org.trefoilledge.core.admission.ReportPace;
import org.trefoilledge.wire.generated.DirectoryEntry;
import org.trefoilledge.wire.generated.StatusAnswer;
import org.trefoilledge.wire.generated.StatusReport;

/**
 * Reports this node's load to the collector of its zone, and takes what the collector tells. A collector that does not
 * answer is passed over for a while. Used on the control thread.
 */
final class NodeReports {
    private static final Logger LOG = LoggerFactory.getLogger(NodeReports.class);
    private static final long ANSWER_MILLIS = 400;
    /** Time for which a collector that did not answer is passed over. */
    private static final long SILENT_MILLIS = 800;
    /** Time without a directory from a collector after which this node follows the store itself. */
    private static final long UNTOLD_MILLIS = 1_500;
    /** Time without a plan from a collector after which everything is admitted. */
    private static final long OLD_PLAN_MILLIS = 3_000;

    private final HostId self;
    private final ZoneId zone;
    private final PeerLinks peers;
    private final Knowledge knowledge;
    private final Directory directory;
    private final ZoneCollector collector;
    private final ConfigFetch configs;
    private final Clock clock;
    private final Load load;
    private final Effects effects;
    private final ReportPace pace = new ReportPace();
    private final Map<HostId, Long> silentUntil = new HashMap<>();
    private long directorySource;
    private long directoryVersion;
    private long toldMillis;
    private long answeredMillis = Long.MIN_VALUE / 2;
    private boolean awaitingAnswer;
    private boolean limiting;
    private boolean needsStore;

    /** The load of this node. */
    interface Load {
        /** Returns whether others should hear of it soon. */
        boolean pressing();

        /** Returns the load of the interval that ended last, and ends the present one. */
        NodeLoad next();
    }

    /** What follows from the answer of a collector. */
    interface Effects {
        void planned(AdmissionPlan plan);

        void silent(Set<HostId> hosts);

        void directoryChanged();
    }

    NodeReports(
            HostId self,
            ZoneId zone,
            PeerLinks peers,
            Knowledge knowledge,
            Directory directory,
            ZoneCollector collector,
            ConfigFetch configs,
            Clock clock,
            Load load,
            Effects effects) {
        this.self = self;
        this.zone = zone;
        this.peers = peers;
        this.knowledge = knowledge;
        this.directory = directory;
        this.collector = collector;
        this.configs = configs;
        this.clock = clock;
        this.load = load;
        this.effects = effects;
        this.toldMillis = clock.millis();
    }

    /** Gives the collector of the zone time, from now on, to tell this node about the others. */
    void awaitDirectory() {
        toldMillis = clock.millis();
    }

    /**
     * Returns whether this node has to follow the store: for its zone, or because no collector tells it anything. It goes
     * on until a collector has told it the directory.
     */
    boolean needsStore() {
        long now = clock.millis();
        needsStore |= collector(now).equals(self) || now - toldMillis > UNTOLD_MILLIS;
        return needsStore;
    }

    /** Returns the first delegate that is not known to be silent, this node if there is none. */
    private HostId collector(long now) {
        return directory.delegates(zone).stream()
                .filter(host -> now >= silentUntil.getOrDefault(host, now))
                .findFirst()
                .orElse(self);
    }

    /** Reports, unless the last report is still on its way or nothing presses. */
    void tick() {
        long now = clock.millis();
        if (now - answeredMillis > OLD_PLAN_MILLIS) {
            planned(AdmissionPlan.ALL);
        }
        if (!awaitingAnswer && pace.due(load.pressing(), limiting)) {
            report(now);
        }
    }

    private void planned(AdmissionPlan plan) {
        limiting = !plan.admitted().isEmpty();
        effects.planned(plan);
    }

    private void report(long now) {
        HostId chosen = collector(now);
        StatusReport report = StatusReport.newBuilder()
                .setConfigVersion(knowledge.version())
                .setConfigAgeMillis((int) knowledge.ageMillis())
                .setUpstream(LoadMessages.message(load.next()))
                .setDirectorySource(directorySource)
                .setDirectoryVersion(directoryVersion)
                .build();
        if (chosen.equals(self)) {
            apply(collector.heard(self, report));
        } else {
            send(directory.others().get(chosen), report);
        }
    }

    private void send(Member member, StatusReport report) {
        Knowledge.Moment sent = knowledge.now();
        awaitingAnswer = true;
        configs.onControl(peers.report(member.peers(), report, ANSWER_MILLIS), (answer, error) -> {
            awaitingAnswer = false;
            if (error != null) {
                LOG.info("peer: {}, collector of this zone, does not answer", member.host());
                silentUntil.put(member.host(), clock.millis() + SILENT_MILLIS);
                return;
            }
            silentUntil.remove(member.host());
            configs.told(member.peers(), answer.getConfigVersion(), sent.minus(answer.getConfigAgeMillis()));
            apply(answer);
            if (answer.getDirectorySource() != 0) {
                learn(answer);
            }
        });
    }

    private void apply(StatusAnswer answer) {
        answeredMillis = clock.millis();
        planned(LoadMessages.plan(answer.getAdmittedList()));
        effects.silent(ZoneCollector.hosts(answer.getSilentHostsList()));
    }

    private void learn(StatusAnswer answer) {
        toldMillis = clock.millis();
        needsStore = false;
        directorySource = answer.getDirectorySource();
        directoryVersion = answer.getDirectoryVersion();
        if (answer.getDirectoryWhole() || answer.getDirectoryCount() > 0) {
            List<KeyValueStore.Change> changes = new ArrayList<>();
            answer.getDirectoryList().forEach(entry -> changes.add(change(entry)));
            directory.told(new Directory.Update(directoryVersion, answer.getDirectoryWhole(), changes));
            effects.directoryChanged();
        }
    }

    /** Forgets which directory is known here, because this node now reads the store. */
    void followsStore() {
        directorySource = 0;
        directoryVersion = 0;
    }

    private static KeyValueStore.Change change(DirectoryEntry entry) {
        Optional<KeyValueStore.Item> item = entry.getRevision() == 0
                ? Optional.empty()
                : Optional.of(
                        new KeyValueStore.Item(entry.getKey(), entry.getValue().toByteArray(), entry.getRevision()));
        return new KeyValueStore.Change(entry.getKey(), item);
    }
}
