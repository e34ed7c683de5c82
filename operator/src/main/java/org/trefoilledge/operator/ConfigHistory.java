package org.trefoilledge.operator;

import java.util.List;
import java.util.Optional;
import org.trefoilledge.core.config.Change;
import org.trefoilledge.core.config.Inventory;
import org.trefoilledge.core.config.LogEntry;

/**
 * The configuration log as it was read from the store.
 *
 * @param entries all entries in order
 * @param digests digests of the encoded entries as they are stored, after the empty one of revision 0
 * @param inventory the inventory that the entries lead to
 */
record ConfigHistory(List<LogEntry> entries, List<String> digests, Inventory inventory) {
    ConfigHistory {
        entries = List.copyOf(entries);
        digests = List.copyOf(digests);
    }

    long revision() {
        return entries.size();
    }

    /** Returns the digest of the entry at a revision, empty for revision 0. */
    String digest(long revision) {
        return digests.get(Math.toIntExact(revision));
    }

    LogEntry entry(long revision) {
        return entries.get(Math.toIntExact(revision - 1));
    }

    /** Returns the entries after a revision. */
    List<LogEntry> after(long revision) {
        return entries.subList(Math.toIntExact(revision), entries.size());
    }

    /** Returns the inventory at a revision. */
    Inventory at(long revision) {
        if (revision == revision()) {
            return inventory;
        }
        List<Change> changes = entries.subList(0, Math.toIntExact(revision)).stream()
                .flatMap(entry -> entry.changes().stream())
                .toList();
        return Inventory.EMPTY.with(changes);
    }

    Optional<LogEntry> operation(String operation) {
        return entries.stream()
                .filter(entry -> entry.operation().equals(operation))
                .findFirst();
    }
}
