package org.trefoilledge.configstore;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.trefoilledge.core.config.ConfigCodec;
import org.trefoilledge.core.config.ConfigException;
import org.trefoilledge.core.config.LogEntry;

/** Writes entries of the log back that the store lost. */
final class LogHealer {
    private static final Logger log = LoggerFactory.getLogger(LogHealer.class);

    private final Store store;

    LogHealer(Store store) {
        this.store = store;
    }

    HealResult heal(List<byte[]> entries) throws StoreException, ConfigException {
        if (entries.isEmpty()) {
            throw new ConfigException("no entries were given to write back");
        }
        LogEntry first = ConfigCodec.decode(entries.get(0));
        checkChain(first.revision(), entries);
        Optional<HealResult> obstacle = obstacleBefore(first);
        return obstacle.isPresent() ? obstacle.get() : writeBack(first.revision(), entries);
    }

    private static void checkChain(long firstRevision, List<byte[]> entries) throws ConfigException {
        for (int i = 1; i < entries.size(); i++) {
            LogEntry entry = ConfigCodec.decode(entries.get(i));
            boolean chained = entry.previousDigest().equals(ConfigCodec.digest(entries.get(i - 1)));
            if (entry.revision() != firstRevision + i || !chained) {
                throw new ConfigException(
                        "the entries to write back do not form a chain at revision " + (firstRevision + i));
            }
        }
    }

    /** Entries must not be written after a gap or after an entry that they do not chain to. */
    private Optional<HealResult> obstacleBefore(LogEntry first) throws StoreException {
        if (first.revision() == 1) {
            return Optional.empty();
        }
        long before = first.revision() - 1;
        Optional<StoredValue> stored = store.read(LogKeys.entry(before));
        if (stored.isEmpty()) {
            return Optional.of(new HealResult(HealResult.Status.GAP, 0, before));
        }
        boolean chained = ConfigCodec.digest(ConfigStore.bytes(stored.get())).equals(first.previousDigest());
        return chained ? Optional.empty() : Optional.of(new HealResult(HealResult.Status.FORKED, 0, before));
    }

    private HealResult writeBack(long firstRevision, List<byte[]> entries) throws StoreException {
        int written = 0;
        for (int i = 0; i < entries.size(); i++) {
            long revision = firstRevision + i;
            String value = new String(entries.get(i), StandardCharsets.UTF_8);
            Optional<StoredValue> stored = store.read(LogKeys.entry(revision));
            if (stored.isEmpty()) {
                written += create(revision, value);
                stored = store.read(LogKeys.entry(revision));
            }
            if (stored.isEmpty()) {
                throw new StoreUnavailableException("revision " + revision + " disappeared from the store");
            }
            if (!stored.get().value().equals(value)) {
                return new HealResult(HealResult.Status.FORKED, written, revision);
            }
        }
        return new HealResult(HealResult.Status.COMPLETE, written, firstRevision + entries.size() - 1);
    }

    private int create(long revision, String value) throws StoreException {
        if (store.swap(LogKeys.entry(revision), 0, value).isEmpty()) {
            return 0;
        }
        log.info("config: revision {} was missing in the store and is written back", revision);
        return 1;
    }
}
