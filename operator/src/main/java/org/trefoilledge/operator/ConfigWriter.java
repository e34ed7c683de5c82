package org.trefoilledge.operator;

import java.util.ArrayList;
import java.util.List;
import org.trefoilledge.configstore.AppendResult;
import org.trefoilledge.configstore.ConfigSnapshot;
import org.trefoilledge.configstore.ConfigStore;
import org.trefoilledge.configstore.Store;
import org.trefoilledge.configstore.StoreException;
import org.trefoilledge.core.config.ConfigCodec;
import org.trefoilledge.core.config.ConfigException;
import org.trefoilledge.core.config.ConfigLog;
import org.trefoilledge.core.config.Inventory;
import org.trefoilledge.core.config.LogEntry;

/** Reads the configuration log from the store and appends entries to it, within the time that the operator gives. */
final class ConfigWriter {
    private static final int PAGE_ENTRIES = 32;
    private static final long PAUSE_MILLIS = 200;
    private static final ConfigSnapshot EMPTY = new ConfigSnapshot(0, "", Inventory.EMPTY);

    private final ConfigStore config;
    private final Environment environment;
    private final long timeoutMillis;

    ConfigWriter(Store store, Environment environment, long timeoutMillis) {
        config = new ConfigStore(store);
        this.environment = environment;
        this.timeoutMillis = timeoutMillis;
    }

    /** Chooses the oldest revision that is needed, given the latest one. */
    @FunctionalInterface
    interface Oldest {
        /** Needs only the configuration in force. */
        Oldest HEAD = head -> head;

        long oldest(long head);
    }

    /**
     * Reads the log from a snapshot on, and checks its chain.
     *
     * @throws RejectedException if the log cannot be used
     */
    ConfigHistory read(Oldest oldest) throws StoreException, RejectedException {
        long head = config.head(0);
        ConfigSnapshot start = config.snapshot(Math.max(0, Math.min(head, oldest.oldest(head))))
                .orElse(EMPTY);
        ConfigLog log = new ConfigLog();
        log.restore(start.revision(), start.digest(), start.inventory());
        List<LogEntry> entries = new ArrayList<>();
        List<String> digests = new ArrayList<>();
        List<byte[]> page;
        do {
            page = config.entries(log.revision() + 1, PAGE_ENTRIES);
            for (byte[] encoded : page) {
                entries.add(offer(log, encoded));
                digests.add(log.digest());
            }
        } while (page.size() == PAGE_ENTRIES);
        return new ConfigHistory(start, entries, digests, log.inventory());
    }

    private static LogEntry offer(ConfigLog log, byte[] encoded) throws RejectedException {
        String place = "the log in the store is broken at revision " + (log.revision() + 1) + ": ";
        try {
            if (log.offer(encoded) == ConfigLog.OfferResult.APPLIED) {
                return ConfigCodec.decode(encoded);
            }
            throw new RejectedException(place + "its entry does not follow from the one before");
        } catch (ConfigException e) {
            throw new RejectedException(
                    place + e.getMessage().lines().findFirst().orElse(""));
        }
    }

    /**
     * Appends an entry, and tries again while its outcome is not known, which cannot write it twice.
     *
     * @throws StoreException if the entry was certainly not written, and never will be
     */
    AppendResult append(LogEntry entry) throws StoreException, RejectedException, InterruptedException {
        long end = environment.clock().millis() + timeoutMillis;
        AppendResult result;
        try {
            result = config.append(entry);
        } catch (ConfigException e) {
            throw new RejectedException(e.getMessage());
        }
        while (result instanceof AppendResult.Unknown && environment.clock().millis() + PAUSE_MILLIS < end) {
            environment.pause().pause(PAUSE_MILLIS);
            result = appendAgain(entry);
        }
        return result;
    }

    /** An earlier attempt may have taken effect, so a failure of this one tells nothing. */
    private AppendResult appendAgain(LogEntry entry) {
        try {
            return config.append(entry);
        } catch (StoreException | ConfigException e) {
            return new AppendResult.Unknown(entry.revision(), entry.operation());
        }
    }

    /** Stores a snapshot when one is due, so that readers need not read the whole log. */
    void snapshot(LogEntry entry, Inventory inventory) {
        if (!ConfigStore.snapshotDue(entry.revision())) {
            return;
        }
        try {
            String digest = ConfigCodec.digest(ConfigCodec.encode(entry));
            config.writeSnapshot(new ConfigSnapshot(entry.revision(), digest, inventory));
        } catch (StoreException e) {
            environment
                    .err()
                    .println("note: the snapshot of revision " + entry.revision() + " was not stored: "
                            + e.getMessage());
        }
    }
}
