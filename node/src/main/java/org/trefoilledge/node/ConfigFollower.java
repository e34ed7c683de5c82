package org.trefoilledge.node;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.trefoilledge.configstore.ConfigSnapshot;
import org.trefoilledge.configstore.ConfigStore;
import org.trefoilledge.configstore.StoreException;
import org.trefoilledge.configstore.Watch;
import org.trefoilledge.core.Clock;
import org.trefoilledge.core.config.ConfigCodec;
import org.trefoilledge.core.config.ConfigException;
import org.trefoilledge.core.config.ConfigLog;
import org.trefoilledge.core.config.Inventory;
import org.trefoilledge.core.config.InventoryDiff;
import org.trefoilledge.core.config.LogEntry;
import org.trefoilledge.wire.PeerTransport;
import org.trefoilledge.wire.generated.ConfigEntries;
import org.trefoilledge.wire.generated.ConfigPull;
import org.trefoilledge.wire.generated.Envelope;

/**
 * Keeps this node's copy of the configuration log current: from the store if this node is a delegate of its zone, else
 * from peers. Runs on the control thread.
 */
final class ConfigFollower {
    private static final Logger LOG = LoggerFactory.getLogger(ConfigFollower.class);
    private static final long READ_MILLIS = 5_000;
    private static final long FIRST_READ_MILLIS = 500;
    private static final long PULL_TIMEOUT_MILLIS = 1_000;
    private static final int BATCH = 200;
    private static final int PUSH_FANOUT = 3;

    private final ConfigLog log = new ConfigLog();
    private final StoreWorker store;
    private final PeerTransport transport;
    private final Executor control;
    private final Clock clock;
    private final Consumer<ConfigLog> applied;
    private final java.util.function.IntFunction<List<String>> randomPeers;
    private final LongConsumer storeHeard;
    private long nextReadMillis = Long.MIN_VALUE;
    private boolean reading;
    private boolean pulling;
    private boolean watching;
    private Watch watch;

    /**
     * Creates a follower.
     *
     * @param applied is called after entries were applied
     * @param randomPeers returns addresses of that many random members
     * @param storeHeard is told when the store has answered
     */
    ConfigFollower(
            StoreWorker store,
            PeerTransport transport,
            Executor control,
            Clock clock,
            Consumer<ConfigLog> applied,
            java.util.function.IntFunction<List<String>> randomPeers,
            LongConsumer storeHeard) {
        this.store = store;
        this.transport = transport;
        this.control = control;
        this.clock = clock;
        this.applied = applied;
        this.randomPeers = randomPeers;
        this.storeHeard = storeHeard;
    }

    long revision() {
        return log.revision();
    }

    String digest() {
        return log.digest();
    }

    /** Reads the store if it is time, and keeps a watch on it if this node is a delegate. */
    void tick(boolean delegate) {
        long now = clock.millis();
        boolean empty = log.revision() == 0;
        if ((delegate || empty) && now >= nextReadMillis && !reading) {
            nextReadMillis = now + (empty ? FIRST_READ_MILLIS : READ_MILLIS);
            read();
        }
        if (delegate && !watching) {
            startWatch();
        }
    }

    private void startWatch() {
        watching = true;
        store.run(
                s -> new ConfigStore(s).watch(entry -> control.execute(() -> watched(entry))),
                started -> watch = started,
                failure -> watching = false);
    }

    private void watched(byte[] entry) {
        storeHeard.accept(clock.millis());
        offer(entry);
        nextReadMillis = Math.min(nextReadMillis, clock.millis() + FIRST_READ_MILLIS);
    }

    /** Reads from the own revision on, so that a store restored from an older copy is noticed. */
    private void read() {
        reading = true;
        if (watch != null && !watch.active()) {
            watch = null;
            watching = false;
        }
        long own = log.revision();
        store.run(
                s -> news(new ConfigStore(s), own),
                news -> {
                    reading = false;
                    storeHeard.accept(clock.millis());
                    take(news);
                },
                failure -> {
                    reading = false;
                    LOG.debug("config: the store cannot be read: {}.", failure.getMessage());
                });
    }

    /** What the store has: a snapshot only for a node that has nothing yet, and entries from the own revision on. */
    private record News(Optional<ConfigSnapshot> snapshot, List<byte[]> entries) {}

    private static News news(ConfigStore store, long own) throws StoreException {
        Optional<ConfigSnapshot> snapshot = own == 0 ? store.snapshot(Long.MAX_VALUE) : Optional.empty();
        long from = Math.max(1, snapshot.map(ConfigSnapshot::revision).orElse(own));
        return new News(snapshot, store.entries(from, BATCH));
    }

    private void take(News news) {
        if (news.entries().isEmpty() && log.revision() > 0) {
            heal();
            return;
        }
        long before = log.revision();
        news.snapshot().ifPresent(copy -> log.restore(copy.revision(), copy.digest(), copy.inventory()));
        news.entries().forEach(this::apply);
        publish(before);
        if (news.entries().size() == BATCH) {
            nextReadMillis = clock.millis();
        }
    }

    /** The store lacks the own revision: it was restored from an older copy. Writes the missing entries back. */
    private void heal() {
        List<byte[]> kept =
                log.entriesFrom(Math.max(1, log.revision() - ConfigLog.MAX_RETAINED_ENTRIES + 1), Integer.MAX_VALUE);
        LOG.warn("config: the store lacks revision {}; writing missing entries back.", log.revision());
        store.run(
                s -> new ConfigStore(s).heal(kept),
                result -> LOG.warn("config: {} entries were written back: {}.", result.written(), result.status()),
                failure -> LOG.warn("config: entries cannot be written back: {}.", failure.getMessage()));
    }

    /** Takes one entry, for example from a watch. */
    void offer(byte[] entry) {
        long before = log.revision();
        apply(entry);
        publish(before);
    }

    private void apply(byte[] entry) {
        try {
            ConfigLog.OfferResult result = log.offer(entry);
            if (result == ConfigLog.OfferResult.FORK) {
                LOG.error("config: an entry does not chain to revision {}; it is ignored.", log.revision());
            }
        } catch (ConfigException e) {
            LOG.error("config: an entry cannot be used: {}.", e.getMessage());
        }
    }

    private void publish(long before) {
        if (log.revision() == before) {
            return;
        }
        LOG.info("config: revision {} is in force.", log.revision());
        applied.accept(log);
        push(before + 1);
    }

    private void push(long from) {
        List<byte[]> entries = log.entriesFrom(from, BATCH);
        if (entries.isEmpty()) {
            return;
        }
        Envelope news = Envelope.newBuilder().setConfigEntries(entries(entries)).build();
        randomPeers.apply(PUSH_FANOUT).forEach(address -> {
            var unused = transport.sendRequest(address, news, PULL_TIMEOUT_MILLIS);
        });
    }

    /** A peer has this revision. Pulls from it if it is ahead. */
    void heard(String peerAddress, long revision) {
        if (revision <= log.revision() || pulling) {
            return;
        }
        pulling = true;
        Envelope request = Envelope.newBuilder()
                .setConfigPull(ConfigPull.newBuilder().setFromRevision(log.revision() + 1))
                .build();
        var unused = transport
                .sendRequest(peerAddress, request, PULL_TIMEOUT_MILLIS)
                .whenCompleteAsync(
                        (answer, error) -> {
                            pulling = false;
                            if (error == null && answer.hasConfigEntries()) {
                                received(answer.getConfigEntries());
                            }
                        },
                        control);
    }

    /** Takes entries or a full copy from a peer. */
    void received(ConfigEntries message) {
        long before = log.revision();
        if (!message.getSnapshot().isEmpty()) {
            restore(message.getSnapshot().toByteArray());
        }
        message.getEntriesList().forEach(entry -> apply(entry.toByteArray()));
        publish(before);
    }

    private void restore(byte[] snapshot) {
        try {
            LogEntry entry = ConfigCodec.decode(snapshot);
            log.restore(entry.revision(), entry.previousDigest(), Inventory.EMPTY.with(entry.changes()));
        } catch (ConfigException e) {
            LOG.error("config: a full copy cannot be used: {}.", e.getMessage());
        }
    }

    /** Answers a pull: with entries, or with a full copy if the wanted ones are no longer kept. */
    ConfigEntries pulled(ConfigPull pull) {
        List<byte[]> entries = log.entriesFrom(pull.getFromRevision(), BATCH);
        if (!entries.isEmpty() || pull.getFromRevision() > log.revision()) {
            return entries(entries);
        }
        LogEntry copy = new LogEntry(
                log.revision(), "copy", log.digest(), InventoryDiff.changes(Inventory.EMPTY, log.inventory()));
        return ConfigEntries.newBuilder()
                .setSnapshot(ByteString.copyFrom(ConfigCodec.encode(copy)))
                .build();
    }

    private static ConfigEntries entries(List<byte[]> entries) {
        ConfigEntries.Builder message = ConfigEntries.newBuilder();
        entries.forEach(entry -> message.addEntries(ByteString.copyFrom(entry)));
        return message.build();
    }
}
