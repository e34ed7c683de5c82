package org.trefoilledge.core.config;

import java.util.List;

/**
 * One entry of the configuration log.
 *
 * @param revision position in the log, starting at 1
 * @param operation unique id of the write, by which a writer that received no response recognises its own entry
 * @param previousDigest digest of the previous encoded entry, empty for the first entry
 */
public record LogEntry(long revision, String operation, String previousDigest, List<Change> changes) {
    /** Checks the revision. */
    public LogEntry {
        if (revision < 1) {
            throw new IllegalArgumentException("revision must be at least 1, but was: " + revision);
        }
        changes = List.copyOf(changes);
    }
}
