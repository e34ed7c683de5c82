package org.trefoilledge.sidecar;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.trefoilledge.core.HostId;

/**
 * Keeps the departed upstream runs of this host in the store, so that later runs of this node know them. The record has a
 * lease of its own, which outlives the node, and is only ever extended. Used on the control thread.
 */
@SuppressWarnings("FutureReturnValueIgnored") // the outcome of each call is recorded in StoreNotes
final class DepartureStore {
    private static final Logger LOG = LoggerFactory.getLogger(DepartureStore.class);
    private static final String PREFIX = "departures/";
    /** Longest lease of the store. Late reports of a departed upstream arrive within seconds. */
    private static final long LIFETIME_MILLIS = 600_000;

    private static final long MIN_RETRY_DELAY_MILLIS = 150;
    private static final long MAX_RETRY_DELAY_MILLIS = 600;

    private final EventLoop control;
    private final KeyValueStore store;
    private final StoreNotes notes;
    private final String key;
    private final RandomGenerator random;
    private final Consumer<DepartedRuns> onLoaded;
    private final List<Save> saves = new ArrayList<>();
    private DepartedRuns stored = DepartedRuns.NONE;
    private DepartedRuns wanted = DepartedRuns.NONE;
    private long revision;
    private boolean loaded;
    private boolean requestInFlight;
    /** Whether the store was restored, so that the record has to be written under a new lease, whatever it contains. */
    private boolean rewriteNeeded;

    private record Save(DepartedRuns runs, CompletableFuture<Void> done) {}

    /** @param onLoaded receives the runs that the store has, at the start and after each conflict */
    DepartureStore(
            EventLoop control,
            KeyValueStore store,
            StoreNotes notes,
            HostId host,
            RandomGenerator random,
            Consumer<DepartedRuns> onLoaded) {
        this.control = control;
        this.store = store;
        this.notes = notes;
        this.key = PREFIX + host;
        this.random = random;
        this.onLoaded = onLoaded;
    }

    /** Reads the record, and writes it again if it is missing; tries again until the store answers. */
    void load() {
        if (!requestInFlight) {
            readRecord();
        }
    }

    private void readRecord() {
        requestInFlight = true;
        store.read(key).whenComplete((item, error) -> {
            notes.recordCall("read", error);
            if (error != null) {
                retryLater(this::readRecord);
                return;
            }
            requestInFlight = false;
            loaded = true;
            revision = item.map(KeyValueStore.Item::revision).orElse(0L);
            stored = item.map(DepartureStore::parse).orElse(DepartedRuns.NONE);
            wanted = wanted.merge(stored);
            onLoaded.accept(stored);
            saveIfWanted();
        });
    }

    /** Returns whether the record of earlier runs of this node has been read. */
    boolean loaded() {
        return loaded;
    }

    /** Writes the record again. Until then, no departure counts as saved. */
    void onRestore() {
        if (wanted.equals(DepartedRuns.NONE)) {
            return;
        }
        rewriteNeeded = true;
        load();
    }

    /** Adds runs to the record. The future completes once the store has them. */
    CompletableFuture<Void> save(DepartedRuns runs) {
        Save save = new Save(runs, new CompletableFuture<>());
        saves.add(save);
        wanted = wanted.merge(runs);
        saveIfWanted();
        return save.done();
    }

    private void saveIfWanted() {
        if (!rewriteNeeded) {
            completeSaves();
        }
        if (!loaded || requestInFlight || (stored.includes(wanted) && !rewriteNeeded)) {
            return;
        }
        requestInFlight = true;
        store.startLease(LIFETIME_MILLIS).whenComplete((lease, error) -> {
            notes.recordCall("start-lease", error);
            if (error == null) {
                write(lease);
            } else {
                retryLater(this::readRecord);
            }
        });
    }

    private void completeSaves() {
        List<Save> done =
                saves.stream().filter(save -> stored.includes(save.runs())).toList();
        saves.removeAll(done);
        done.forEach(save -> save.done().complete(null));
    }

    private void write(long lease) {
        DepartedRuns runs = stored.merge(wanted);
        store.write(key, runs.toJson(), revision, lease).whenComplete((written, error) -> {
            notes.recordCall("write", error);
            if (error == null && written.isPresent()) {
                requestInFlight = false;
                rewriteNeeded = false;
                revision = written.get();
                stored = runs;
                saveIfWanted();
            } else {
                // The write may have been executed, or may still be: only a read shows what the store has.
                retryLater(this::readRecord);
            }
        });
    }

    private static DepartedRuns parse(KeyValueStore.Item item) {
        try {
            return DepartedRuns.parse(item.value());
        } catch (IOException e) {
            LOG.warn("store: ignored the record of departed upstreams: {}", e.getMessage());
            return DepartedRuns.NONE;
        }
    }

    private void retryLater(Runnable action) {
        long delay = random.nextLong(MIN_RETRY_DELAY_MILLIS, MAX_RETRY_DELAY_MILLIS);
        control.schedule(action, delay, TimeUnit.MILLISECONDS);
    }
}
