package org.trefoilledge.operator;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.trefoilledge.core.config.Change;
import org.trefoilledge.core.config.Inventory;
import org.trefoilledge.core.config.KeyDigest;

/** Finds withdrawn keys that an old inventory file would grant again. */
final class WithdrawnKeys {
    private WithdrawnKeys() {}

    /** Returns the keys that the new inventory grants, that are not granted now, and that the log has seen before. */
    static Set<String> grantedAgain(ConfigHistory history, Inventory after) {
        Set<KeyDigest> again = keys(after);
        again.removeAll(keys(history.inventory()));
        if (again.isEmpty()) {
            return Set.of();
        }
        Set<KeyDigest> seen = new HashSet<>();
        history.entries().forEach(entry -> entry.changes().forEach(change -> seen.addAll(keys(change))));
        Set<String> names = new TreeSet<>();
        again.stream().filter(seen::contains).map(KeyDigest::abbreviated).forEach(names::add);
        return names;
    }

    private static Set<KeyDigest> keys(Inventory inventory) {
        Set<KeyDigest> keys = new HashSet<>();
        inventory.organisations().values().forEach(organisation -> keys.addAll(organisation.keys()));
        return keys;
    }

    private static List<KeyDigest> keys(Change change) {
        if (change instanceof Change.PutOrganisation put) {
            return put.organisation().keys();
        } else if (change instanceof Change.GrantKey grant) {
            return List.of(grant.key());
        }
        return List.of();
    }
}
