package org.trefoilledge.load;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.trefoilledge.configstore.SettingsException;
import org.trefoilledge.configstore.TomlReader;

/** A host of a hosts file, which runs one upstream and its node. */
record Host(String id, String zone, String service, int slots, int connections) {

    /** Reads the {@code [[host]]} entries of a hosts file. */
    static List<Host> read(Path file) throws SettingsException {
        TomlReader reader = TomlReader.read(file);
        List<Host> hosts = new ArrayList<>();
        for (TomlReader entry : reader.sections("host")) {
            hosts.add(new Host(
                    entry.text("id"),
                    entry.text("zone"),
                    entry.text("service"),
                    (int) entry.integer("slots", 1, 100_000),
                    (int) entry.integer("connections", 1, 1_000_000)));
        }
        if (hosts.isEmpty()) {
            throw reader.error("expected at least one [[host]]");
        }
        return hosts;
    }

    /**
     * Returns at most the given number of hosts for each service. Services take the zones in
     * turn, each starting at a different offset, so that a small deployment still uses every zone.
     */
    static List<Host> limit(List<Host> hosts, int perService) {
        Map<String, List<Host>> byService = new LinkedHashMap<>();
        hosts.forEach(host -> byService
                .computeIfAbsent(host.service(), s -> new ArrayList<>())
                .add(host));
        List<Host> chosen = new ArrayList<>();
        int offset = 0;
        for (List<Host> serviceHosts : byService.values()) {
            int count = Math.min(perService, serviceHosts.size());
            for (int i = 0; i < count; i++) {
                chosen.add(serviceHosts.get((offset + i) % serviceHosts.size()));
            }
            offset += count;
        }
        return chosen;
    }

    Host scaled(double slotsFactor, double connectionsFactor) {
        return new Host(id, zone, service, (int) Math.max(1, Math.round(slots * slotsFactor)), (int)
                Math.max(4, Math.round(connections * connectionsFactor)));
    }
}
