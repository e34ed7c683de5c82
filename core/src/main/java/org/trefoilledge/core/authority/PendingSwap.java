package org.trefoilledge.core.authority;

import java.util.Map;
import org.trefoilledge.core.HostId;

/**
 * A write of the record whose outcome is not yet certain. It is certain once a record of its version or a later one
 * has been received: the version grows with each write, so the write can no longer take effect then.
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

    /** Returns the shards that this write transfers, with their new owners. */
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

    /** Records that the latest attempt had no effect, and returns whether an earlier attempt may still take effect. */
    boolean markUnavailable() {
        inFlight = false;
        return mayHaveTakenEffect;
    }

    /** Returns whether the write must be retried: none is in flight, and a read shows that it can still take effect. */
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
