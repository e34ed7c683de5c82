package org.trefoilledge.scenarios;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.trefoilledge.configstore.EtcdSettings;
import org.trefoilledge.configstore.EtcdStore;
import org.trefoilledge.configstore.StoreException;
import org.trefoilledge.configstore.StoredValue;
import org.trefoilledge.core.config.ConfigCodec;
import org.trefoilledge.core.config.ConfigException;
import org.trefoilledge.core.config.LogEntry;
import org.trefoilledge.standin.StoreStandin;

/** Reads the configuration log as the store has it. */
final class StoreLog {
    private static final int MAX_ENTRIES = 1_000;

    private StoreLog() {}

    static List<LogEntry> read(StoreStandin stored) throws StoreException, ConfigException {
        List<LogEntry> entries = new ArrayList<>();
        try (EtcdStore store = new EtcdStore(EtcdSettings.of(List.of(stored.endpoint()), "scenarios"))) {
            for (StoredValue value : store.range("config/log/", "config/log0", MAX_ENTRIES)) {
                entries.add(ConfigCodec.decode(value.value().getBytes(StandardCharsets.UTF_8)));
            }
        }
        return entries;
    }
}
