package org.trefoilledge.operator;

import java.util.List;

/** What became of a write that was not rejected. */
sealed interface WriteOutcome {
    /** The changes are in the log. */
    record Accepted(long revision, String operation, List<String> changes) implements WriteOutcome {
        public Accepted {
            changes = List.copyOf(changes);
        }
    }

    /** The configuration at this revision has the wanted state already. */
    record Unchanged(long revision) implements WriteOutcome {}

    /** The write may have taken effect, or may still do so. */
    record NotKnown(long revision, String operation) implements WriteOutcome {}
}
