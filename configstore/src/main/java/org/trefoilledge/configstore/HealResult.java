package org.trefoilledge.configstore;

/**
 * What became of an attempt to write missing entries back.
 *
 * @param written entries that were missing and are in the store now
 * @param revision the revision that the status is about
 */
public record HealResult(Status status, int written, long revision) {
    /** How the attempt ended. */
    public enum Status {
        /** The store has all given entries; the revision is the last one. */
        COMPLETE,
        /** The store has another entry at the revision; nothing was written from there on. */
        FORKED,
        /** The store lacks the entry at the revision, which was not given; nothing was written. */
        GAP
    }
}
