package org.trefoilledge.operator;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.trefoilledge.core.config.ConfigCodec;
import org.trefoilledge.core.config.ConfigException;
import org.trefoilledge.core.config.ConfigLog;
import org.trefoilledge.core.config.LogEntry;
import org.trefoilledge.platform.Store;
import org.trefoilledge.platform.StoreException;
import org.trefoilledge.platform.StoreUnavailableException;
import org.trefoilledge.platform.StoredValue;

/** Reads the configuration log from the store and appends entries to it. */
final class ConfigWriter {
    private static final String PREFIX = "config/log/";
    private static final String END = "config/log0";

    /** The store client accepts responses with this many entries of 1 MB. */
    private static final int PAGE_ENTRIES = 32;

    private final Store store;
    private final Environment environment;
    private final long timeoutMillis;

    ConfigWriter(Store store, Environment environment, long timeoutMillis) {
        this.store = store;
        this.environment = environment;
        this.timeoutMillis = timeoutMillis;
    }

    static String key(long revision) {
        return PREFIX + String.format("%010d", revision);
    }

    /**
     * Reads the whole log and checks its chain.
     *
     * @throws RejectedException if the log cannot be used
     */
    ConfigHistory read() throws StoreException, RejectedException {
        ConfigLog log = new ConfigLog();
        List<LogEntry> entries = new ArrayList<>();
        List<String> digests = new ArrayList<>(List.of(""));
        List<StoredValue> page;
        do {
            page = store.range(key(log.revision() + 1), END, PAGE_ENTRIES);
            for (StoredValue value : page) {
                entries.add(offer(log, value));
                digests.add(log.digest());
            }
        } while (page.size() == PAGE_ENTRIES);
        return new ConfigHistory(entries, digests, log.inventory());
    }

    private static LogEntry offer(ConfigLog log, StoredValue value) throws RejectedException {
        byte[] encoded = value.value().getBytes(StandardCharsets.UTF_8);
        try {
            ConfigLog.Offer offer = log.offer(encoded);
            if (offer == ConfigLog.Offer.APPLIED && value.key().equals(key(log.revision()))) {
                return ConfigCodec.decode(encoded);
            }
            throw new RejectedException("the log in the store is broken at " + value.key() + ": its entry "
                    + (offer == ConfigLog.Offer.FORK ? "does not follow from the one before" : "is out of order"));
        } catch (ConfigException e) {
            throw new RejectedException("the log in the store is broken at " + value.key() + ": "
                    + e.getMessage().lines().findFirst().orElse(""));
        }
    }

    /**
     * Appends an entry as the next revision, which the store creates only once.
     *
     * @throws StoreUnavailableException if the entry was certainly not written, and never will be
     */
    CertainWrite.Result append(LogEntry entry) throws StoreUnavailableException, InterruptedException {
        String value = new String(ConfigCodec.encode(entry), StandardCharsets.UTF_8);
        return new CertainWrite(store, environment, timeoutMillis).write(key(entry.revision()), 0, value);
    }
}
