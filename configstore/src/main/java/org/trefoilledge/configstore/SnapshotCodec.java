package org.trefoilledge.configstore;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.trefoilledge.core.config.Change;
import org.trefoilledge.core.config.ConfigCodec;
import org.trefoilledge.core.config.ConfigException;
import org.trefoilledge.core.config.Inventory;
import org.trefoilledge.core.config.KeyDigest;
import org.trefoilledge.core.config.Organisation;

/**
 * Writes an inventory as the changes that build it from the empty one, divided into parts that fit into values of the
 * store. Equal inventories give equal parts, so concurrent writers of one snapshot agree.
 */
final class SnapshotCodec {
    /** Leaves room for the fields around the changes below the limit of 512 KB for a part. */
    private static final int MAX_CHANGES_BYTES = 500 * 1024;

    /** An organisation with more keys is written with these, and the others follow as changes of their own. */
    private static final int KEYS_PER_CHANGE = 1_000;

    private SnapshotCodec() {}

    /** One stored part; the count in each part shows whether a snapshot is complete. */
    record Part(long revision, String digest, int part, int parts, List<Change> changes) {
        Part {
            changes = List.copyOf(changes);
        }
    }

    static List<String> encode(ConfigSnapshot snapshot) {
        List<List<Change>> groups = groups(changes(snapshot.inventory()));
        List<String> parts = new ArrayList<>();
        for (int i = 0; i < groups.size(); i++) {
            parts.add(json(new Part(snapshot.revision(), snapshot.digest(), i, groups.size(), groups.get(i))));
        }
        return parts;
    }

    static Part decode(String part) throws ConfigException {
        try {
            return ConfigCodec.json().readValue(part, Part.class);
        } catch (JsonProcessingException | IllegalArgumentException e) {
            throw new ConfigException("cannot decode a part of a snapshot: " + e.getMessage(), e);
        }
    }

    private static List<List<Change>> groups(List<Change> changes) {
        List<List<Change>> groups = new ArrayList<>();
        List<Change> group = new ArrayList<>();
        long bytes = 0;
        for (Change change : changes) {
            long size = json(change).getBytes(StandardCharsets.UTF_8).length + 1L;
            if (bytes + size > MAX_CHANGES_BYTES && !group.isEmpty()) {
                groups.add(group);
                group = new ArrayList<>();
                bytes = 0;
            }
            group.add(change);
            bytes += size;
        }
        groups.add(group);
        return groups;
    }

    private static List<Change> changes(Inventory inventory) {
        List<Change> changes = new ArrayList<>();
        changes.add(new Change.SetDeployment(inventory.deployment(), inventory.zones()));
        changes.add(new Change.SetRules(inventory.rules()));
        inventory.services().values().forEach(service -> changes.add(new Change.PutService(service)));
        inventory.organisations().values().forEach(organisation -> add(changes, organisation));
        inventory.routes().values().forEach(route -> changes.add(new Change.PutRoute(route)));
        inventory.drainedHosts().forEach(host -> changes.add(new Change.DrainHost(host)));
        return changes;
    }

    private static void add(List<Change> changes, Organisation organisation) {
        List<KeyDigest> keys = organisation.keys();
        int first = Math.min(keys.size(), KEYS_PER_CHANGE);
        changes.add(new Change.PutOrganisation(new Organisation(
                organisation.id(), organisation.rate(), organisation.burst(), keys.subList(0, first))));
        for (KeyDigest key : keys.subList(first, keys.size())) {
            changes.add(new Change.GrantKey(organisation.id(), key));
        }
    }

    private static String json(Object value) {
        try {
            return ConfigCodec.json().writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a change can always be encoded", e);
        }
    }
}
