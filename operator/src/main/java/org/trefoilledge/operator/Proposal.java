package org.trefoilledge.operator;

import java.util.List;
import org.trefoilledge.core.config.Change;

/** Decides which changes to write on top of a configuration. Asked again after each lost race. */
@FunctionalInterface
interface Proposal {
    /** Returns the changes, empty if there is nothing to change. */
    List<Change> changes(ConfigHistory current) throws RejectedException;
}
