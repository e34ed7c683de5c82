package org.trefoilledge.configstore;

/** What became of an attempt to append an entry to the configuration log. */
public sealed interface AppendResult {
    /** The entry is in the log. */
    record Accepted(long revision) implements AppendResult {}

    /**
     * Another writer's entry has the revision; this entry is not in the log and never will be.
     *
     * @param winner operation id of the entry that has the revision
     */
    record Taken(long revision, String winner) implements AppendResult {}

    /**
     * The entry may be in the log or may still get there. {@link ConfigStore#outcome} tells once the store responds.
     *
     * @param operation operation id of this entry
     */
    record Unknown(long revision, String operation) implements AppendResult {}
}
