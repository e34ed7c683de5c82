package org.trefoilledge.standin;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.trefoilledge.configstore.AppendResult;
import org.trefoilledge.configstore.ConfigSnapshot;
import org.trefoilledge.configstore.ConfigStore;
import org.trefoilledge.configstore.EtcdSettings;
import org.trefoilledge.configstore.EtcdStore;
import org.trefoilledge.configstore.HealResult;
import org.trefoilledge.configstore.OperationOutcome;
import org.trefoilledge.configstore.StoreUnavailableException;
import org.trefoilledge.configstore.StoredValue;
import org.trefoilledge.configstore.Watch;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.OrganisationId;
import org.trefoilledge.core.config.Change;
import org.trefoilledge.core.config.ConfigCodec;
import org.trefoilledge.core.config.ConfigException;
import org.trefoilledge.core.config.Inventory;
import org.trefoilledge.core.config.KeyDigest;
import org.trefoilledge.core.config.LogEntry;
import org.trefoilledge.core.config.Organisation;

class ConfigStoreTest {
    private static final StoreLimits FAST_LIMITS = new StoreLimits(100_000, 100_000, 0);

    private StoreStandin standin;
    private EtcdStore store;
    private ConfigStore config;

    @BeforeEach
    void start() throws Exception {
        standin = StoreStandin.start("127.0.0.1:0", FAST_LIMITS);
        store = new EtcdStore(EtcdSettings.of(List.of(standin.endpoint()), "a-1"));
        config = new ConfigStore(store);
    }

    @AfterEach
    void stop() {
        store.close();
        standin.close();
    }

    @Test
    void appendedEntryIsAccepted() throws Exception {
        assertThat(config.append(entry(1, "op-1", ""))).isEqualTo(new AppendResult.Accepted(1));
    }

    @Test
    void revisionOfAnotherWriterIsReportedAsTaken() throws Exception {
        config.append(entry(1, "op-1", ""));
        assertThat(config.append(entry(1, "op-2", ""))).isEqualTo(new AppendResult.Taken(1, "op-1"));
    }

    /** Guards against a writer's own entry being reported as taken after the response to its write was lost. */
    @Test
    void lostResponseIsResolvedAsAccepted() throws Exception {
        standin.apply(StoreFaults.NONE.withLoseWriteAnswers(1));
        assertThat(config.append(entry(1, "op-1", ""))).isEqualTo(new AppendResult.Accepted(1));
    }

    @Test
    void appendWithoutAStoreIsReportedAsUnavailable() {
        standin.close();
        assertThatThrownBy(() -> config.append(entry(1, "op-1", ""))).isInstanceOf(StoreUnavailableException.class);
    }

    /** Guards against an assumed outcome: the write takes effect after the client has timed out. */
    @Test
    void slowStoreLeavesTheOutcomeUnknownUntilItIsRead() throws Exception {
        standin.apply(StoreFaults.NONE.withDelayMillis(400));
        try (EtcdStore impatientStore = new EtcdStore(new EtcdSettings(List.of(standin.endpoint()), "a-1", 50))) {
            assertThat(new ConfigStore(impatientStore).append(entry(1, "op-1", "")))
                    .isEqualTo(new AppendResult.Unknown(1, "op-1"));
        }
        standin.apply(StoreFaults.NONE);
        assertThat(config.outcome(1, "op-1")).isEqualTo(OperationOutcome.ABSENT);
        Await.until(() -> config.outcome(1, "op-1") == OperationOutcome.ACCEPTED);
    }

    @Test
    void outcomeOfALostRaceIsTaken() throws Exception {
        config.append(entry(1, "op-1", ""));
        assertThat(config.outcome(1, "op-2")).isEqualTo(OperationOutcome.TAKEN);
    }

    @Test
    void operationIsFoundByItsId() throws Exception {
        appendChain(1, 70, "");
        assertThat(config.find("op-65", 1)).contains(65L);
        assertThat(config.find("op-71", 1)).isEmpty();
    }

    /** Guards against an entry that no node would accept and that would block its revision permanently. */
    @Test
    void entryWithAWrongPreviousDigestIsNotWritten() throws Exception {
        config.append(entry(1, "op-1", ""));
        assertThatThrownBy(() -> config.append(entry(2, "op-2", "other"))).isInstanceOf(ConfigException.class);
        assertThat(config.head(0)).isEqualTo(1);
    }

    @Test
    void entriesAreReadInOrderOverSeveralPages() throws Exception {
        List<byte[]> written = appendChain(1, 70, "");
        assertThat(config.entries(1, 100)).containsExactlyElementsOf(written);
        assertThat(config.entries(10, 5)).containsExactlyElementsOf(written.subList(9, 14));
    }

    @Test
    void entriesEndBeforeAGap() throws Exception {
        appendChain(1, 3, "");
        store.swap("config/log/0000000005", 0, "{}");
        assertThat(config.entries(1, 100)).hasSize(3);
    }

    @Test
    void headOfAnEmptyLogIsZero() throws Exception {
        assertThat(config.head(0)).isZero();
    }

    @Test
    void headIsFoundFromAnyKnownRevision() throws Exception {
        appendChain(1, 21, "");
        for (long known : List.of(0L, 1L, 20L, 21L, 400L)) {
            assertThat(config.head(known)).isEqualTo(21);
        }
    }

    @Test
    void watchDeliversAppendedEntries() throws Exception {
        BlockingQueue<byte[]> seen = new LinkedBlockingQueue<>();
        try (Watch watch = config.watch(seen::add)) {
            config.append(entry(1, "op-1", ""));
            assertThat(ConfigCodec.decode(seen.poll(5, TimeUnit.SECONDS)).operation())
                    .isEqualTo("op-1");
            assertThat(watch.active()).isTrue();
        }
    }

    @Test
    void snapshotOfSeveralPartsIsReadBack() throws Exception {
        ConfigSnapshot snapshot = snapshot(largeInventory());
        config.writeSnapshot(snapshot);
        assertThat(config.snapshot(300)).contains(snapshot);
    }

    @Test
    void partsOfASnapshotStayBelow512Kilobytes() throws Exception {
        config.writeSnapshot(snapshot(largeInventory()));
        List<StoredValue> parts = store.range("config/snapshot/", "config/snapshot0", 100);
        assertThat(parts).hasSizeGreaterThan(1).allMatch(part -> part.value().length() < 512 * 1024);
    }

    @Test
    void incompleteSnapshotIsIgnored() throws Exception {
        ConfigSnapshot snapshot = snapshot(largeInventory());
        String first = "config/snapshot/0000000256/0";
        config.writeSnapshot(snapshot);
        String part = store.read(first).orElseThrow().value();
        standin.restore();
        writeSnapshotEntry(256, snapshot);
        store.swap(first, 0, part);
        assertThat(config.snapshot(256)).isEmpty();
    }

    /** Guards against the use of a snapshot that covers entries which a restored store has lost. */
    @Test
    void snapshotOfAnotherLogIsIgnored() throws Exception {
        ConfigSnapshot snapshot = snapshot(Inventory.EMPTY);
        config.writeSnapshot(new ConfigSnapshot(256, "other digest", snapshot.inventory()));
        assertThat(config.snapshot(256)).isEmpty();
    }

    @Test
    void snapshotIsWrittenDespiteLostResponses() throws Exception {
        ConfigSnapshot snapshot = snapshot(Inventory.EMPTY);
        standin.apply(StoreFaults.NONE.withLoseWriteAnswers(0.5));
        Await.until(() -> tryWriteSnapshot(snapshot));
        assertThat(config.snapshot(256)).contains(snapshot);
    }

    @Test
    void entriesLostByARestoreAreWrittenBack() throws Exception {
        List<byte[]> before = appendChain(1, 5, "");
        standin.save();
        List<byte[]> all = new ArrayList<>(before);
        all.addAll(appendChain(6, 10, ConfigCodec.digest(before.get(4))));
        standin.restore();
        assertThat(config.heal(all.subList(3, 10))).isEqualTo(new HealResult(HealResult.Status.COMPLETE, 5, 10));
        assertThat(config.entries(1, 100)).containsExactlyElementsOf(all);
    }

    @Test
    void anotherEntryWrittenAfterARestoreIsReportedAsAFork() throws Exception {
        List<byte[]> before = appendChain(1, 5, "");
        standin.save();
        String digest = ConfigCodec.digest(before.get(4));
        List<byte[]> lost = appendChain(6, 10, digest);
        standin.restore();
        config.append(entry(6, "op-of-another-writer", digest));
        assertThat(config.heal(lost)).isEqualTo(new HealResult(HealResult.Status.FORKED, 0, 6));
        assertThat(config.heal(lost.subList(1, 5))).isEqualTo(new HealResult(HealResult.Status.FORKED, 0, 6));
        assertThat(config.head(0)).isEqualTo(6);
    }

    @Test
    void entriesAfterAGapAreNotWrittenBack() throws Exception {
        List<byte[]> lost = appendChain(1, 5, "");
        standin.restore();
        assertThat(config.heal(lost.subList(2, 5))).isEqualTo(new HealResult(HealResult.Status.GAP, 0, 2));
        assertThat(config.head(0)).isZero();
    }

    private boolean tryWriteSnapshot(ConfigSnapshot snapshot) {
        try {
            config.writeSnapshot(snapshot);
            return true;
        } catch (org.trefoilledge.configstore.StoreException e) {
            return false;
        }
    }

    static LogEntry entry(long revision, String operation, String previousDigest) {
        return new LogEntry(
                revision, operation, previousDigest, List.of(new Change.DrainHost(new HostId("host-" + revision))));
    }

    private List<byte[]> appendChain(long first, long last, String previousDigest) throws Exception {
        List<byte[]> encoded = new ArrayList<>();
        String digest = previousDigest;
        for (long revision = first; revision <= last; revision++) {
            LogEntry entry = entry(revision, "op-" + revision, digest);
            assertThat(config.append(entry)).isEqualTo(new AppendResult.Accepted(revision));
            encoded.add(ConfigCodec.encode(entry));
            digest = ConfigCodec.digest(encoded.get(encoded.size() - 1));
        }
        return encoded;
    }

    /** Writes an entry at revision 256 and returns the snapshot that belongs to it. */
    private ConfigSnapshot snapshot(Inventory inventory) throws Exception {
        ConfigSnapshot snapshot =
                new ConfigSnapshot(256, ConfigCodec.digest(ConfigCodec.encode(entry(256, "op", ""))), inventory);
        writeSnapshotEntry(256, snapshot);
        return snapshot;
    }

    private void writeSnapshotEntry(long revision, ConfigSnapshot snapshot) throws Exception {
        String value =
                new String(ConfigCodec.encode(entry(revision, "op", "")), java.nio.charset.StandardCharsets.UTF_8);
        assertThat(ConfigCodec.digest(value)).isEqualTo(snapshot.digest());
        store.swap("config/log/0000000256", 0, value);
    }

    /** Returns an inventory with one organisation that alone exceeds 512 KB. */
    private static Inventory largeInventory() {
        List<KeyDigest> keys = new ArrayList<>();
        for (int i = 0; i < 9_000; i++) {
            keys.add(KeyDigest.of("key-" + i));
        }
        return Inventory.EMPTY.with(List.of(
                new Change.PutOrganisation(new Organisation(new OrganisationId("large"), 100, 100, keys)),
                new Change.DrainHost(new HostId("host-1"))));
    }
}
