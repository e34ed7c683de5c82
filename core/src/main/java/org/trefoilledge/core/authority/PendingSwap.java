package org.trefoilledge.core.authority;

import java.util.Map;
import org.trefoilledge.core.HostId;

/**
 * A write of the record whose effect is not certain yet. It is certain once a record of its version or a later one is
 * known: the version grows with each write, so the write can no longer take effect then.
 */
final class PendingSwap {
    private final long expectedRevision;
    private final ZoneRecord record;
    private final Map<Integer, HostId> moves;
    private long sentAt;
    private boolean inFlight = true;
    private boolean mayHaveTakenEffect;

    PendingSwap(long expectedRevision, ZoneRecord record, Map<Integer, HostId> moves, long now) {
        this.expectedRevision = expectedRevision;
        this.record = record;
        this.moves = moves;
        sentAt = now;
    }

    AuthorityAction.SwapRecord toAction() {
        return new AuthorityAction.SwapRecord(expectedRevision, record);
    }

    boolean hasOperation(String operation) {
        return record.operation().equals(operation);
    }

    ZoneRecord record() {
        return record;
    }

    /** Returns the shards that the owner gives up with this write, and their new owners. */
    Map<Integer, HostId> moves() {
        return moves;
    }

    long sentAt() {
        return sentAt;
    }

    boolean isDecidedBy(ZoneRecord known) {
        return known.version() >= record.version();
    }

    void markOutcomeUnknown() {
        inFlight = false;
        mayHaveTakenEffect = true;
    }

    /** The latest attempt had no effect; returns whether an earlier one may still have. */
    boolean markUnavailable() {
        inFlight = false;
        return mayHaveTakenEffect;
    }

    /** Returns whether a read shows that the write is still possible and not under way, so that it must be repeated. */
    boolean mustRepeat(long readSentAt, long revision) {
        return !inFlight && readSentAt >= sentAt && revision == expectedRevision;
    }

    void markRepeated(long now) {
        sentAt = now;
        inFlight = true;
    }

    /** Returns whether no outcome has been reported for so long that the response counts as lost. */
    boolean isOverdue(long now, long millis) {
        return inFlight && now - sentAt > millis;
    }
}
