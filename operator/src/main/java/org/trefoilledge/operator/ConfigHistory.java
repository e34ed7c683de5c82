package org.trefoilledge.operator;

import java.util.List;
import java.util.Optional;
import org.trefoilledge.configstore.ConfigSnapshot;
import org.trefoilledge.core.config.Change;
import org.trefoilledge.core.config.Inventory;
import org.trefoilledge.core.config.LogEntry;

/**
 * A part of the configuration log, up to its latest entry.
 *
 * @param start the configuration before the first of the entries
 * @param entries all entries after the start in order
 * @param digests digests of these entries as they are stored
 * @param inventory the inventory that the entries lead to
 */
record ConfigHistory(ConfigSnapshot start, List<LogEntry> entries, List<String> digests, Inventory inventory) {
    ConfigHistory {
        entries = List.copyOf(entries);
        digests = List.copyOf(digests);
    }

    long revision() {
        return start.revision() + entries.size();
    }

    /** Returns the digest of the entry at a revision, empty if it is before the start or after the last entry. */
    Optional<String> digest(long revision) {
        if (revision == start.revision()) {
            return Optional.of(start.digest());
        }
        return revision < start.revision() || revision > revision()
                ? Optional.empty()
                : Optional.of(digests.get(index(revision) - 1));
    }

    LogEntry entry(long revision) {
        return entries.get(index(revision) - 1);
    }

    /** Returns the entries after a revision. */
    List<LogEntry> after(long revision) {
        return entries.subList(index(revision), entries.size());
    }

    /** Returns the inventory at a revision. */
    Inventory at(long revision) {
        List<Change> changes = entries.subList(0, index(revision)).stream()
                .flatMap(entry -> entry.changes().stream())
                .toList();
        return start.inventory().with(changes);
    }

    private int index(long revision) {
        return Math.toIntExact(revision - start.revision());
    }
}
