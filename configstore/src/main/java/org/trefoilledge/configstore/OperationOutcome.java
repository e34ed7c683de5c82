package org.trefoilledge.configstore;

/** What the log shows about an operation at its revision. */
public enum OperationOutcome {
    /** The operation's entry has the revision. */
    ACCEPTED,
    /** Another operation's entry has the revision, so this one can never take effect. */
    TAKEN,
    /** No entry has the revision yet: a write that is still on its way could take effect. */
    ABSENT
}
