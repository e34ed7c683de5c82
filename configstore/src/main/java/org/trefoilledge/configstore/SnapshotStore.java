package org.trefoilledge.configstore;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.trefoilledge.core.config.Change;
import org.trefoilledge.core.config.ConfigCodec;
import org.trefoilledge.core.config.ConfigException;
import org.trefoilledge.core.config.Inventory;

/** Snapshots of the configuration in the store. */
final class SnapshotStore {
    private static final Logger log = LoggerFactory.getLogger(SnapshotStore.class);

    /** Reading the log from its start costs less than a search through many missing snapshots. */
    private static final int MAX_SEARCHED = 16;

    private static final int WRITE_ATTEMPTS = 3;

    private final Store store;

    SnapshotStore(Store store) {
        this.store = store;
    }

    void write(ConfigSnapshot snapshot) throws StoreException {
        List<String> parts = SnapshotCodec.encode(snapshot);
        for (int i = 0; i < parts.size(); i++) {
            create(LogKeys.part(snapshot.revision(), i), parts.get(i));
        }
    }

    /** Tries again after a lost response: the second creation does nothing if the first took effect. */
    private void create(String key, String part) throws StoreException {
        StoreOutcomeUnknownException last = null;
        for (int attempt = 0; attempt < WRITE_ATTEMPTS; attempt++) {
            try {
                var unused = store.swap(key, 0, part);
                return;
            } catch (StoreOutcomeUnknownException e) {
                last = e;
            }
        }
        throw last;
    }

    Optional<ConfigSnapshot> latest(long atMost) throws StoreException {
        long revision = atMost - atMost % ConfigStore.SNAPSHOT_INTERVAL;
        for (int i = 0; i < MAX_SEARCHED && revision > 0; i++) {
            Optional<ConfigSnapshot> found = read(revision);
            if (found.isPresent() && belongsToLog(found.get())) {
                return found;
            }
            revision -= ConfigStore.SNAPSHOT_INTERVAL;
        }
        return Optional.empty();
    }

    private Optional<ConfigSnapshot> read(long revision) throws StoreException {
        List<Change> changes = new ArrayList<>();
        String digest = "";
        int parts = 1;
        for (int i = 0; i < parts; i++) {
            Optional<SnapshotCodec.Part> part = part(revision, i);
            if (part.isEmpty()) {
                return Optional.empty();
            }
            parts = part.get().parts();
            digest = part.get().digest();
            changes.addAll(part.get().changes());
        }
        return Optional.of(new ConfigSnapshot(revision, digest, Inventory.EMPTY.with(changes)));
    }

    private Optional<SnapshotCodec.Part> part(long revision, int number) throws StoreException {
        Optional<StoredValue> stored = store.read(LogKeys.part(revision, number));
        if (stored.isEmpty()) {
            return Optional.empty();
        }
        try {
            return Optional.of(SnapshotCodec.decode(stored.get().value()));
        } catch (ConfigException e) {
            log.warn("config: the snapshot of revision {} is passed over: {}", revision, e.getMessage());
            return Optional.empty();
        }
    }

    /** After a restore of the store, a snapshot may belong to entries that the log does not have. */
    private boolean belongsToLog(ConfigSnapshot snapshot) throws StoreException {
        Optional<StoredValue> entry = store.read(LogKeys.entry(snapshot.revision()));
        return entry.isPresent()
                && ConfigCodec.digest(ConfigStore.bytes(entry.get())).equals(snapshot.digest());
    }
}
