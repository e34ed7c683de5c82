package org.trefoilledge.core.authority;

import org.trefoilledge.core.HostId;

/** What an {@link Authority} asks its node to do. Requests that fail may be dropped; swaps must report their end. */
public sealed interface AuthorityAction {
    /** Read the zone record and report {@link AuthorityEvent.RecordRead} or {@link AuthorityEvent.ReadFailed}. */
    record ReadRecord(long sentAt) implements AuthorityAction {}

    /** Write the record if the key has the expected revision (0: is absent), and report how it ended. */
    record SwapRecord(long expectedRevision, ZoneRecord record) implements AuthorityAction {}

    /** Send a request for a promise. The response repeats {@code sentAt}. */
    record SendPromise(HostId to, String address, long sentAt, PeerMessage.PromiseRequest request)
            implements AuthorityAction {}

    /** Send a request to adopt a version. The response repeats {@code exchange}; 0 needs no response. */
    record SendAdopt(HostId to, String address, long exchange, PeerMessage.AdoptRequest request)
            implements AuthorityAction {}

    /** Respond to {@link AuthorityEvent.PromiseAsked}. */
    record AnswerPromise(long requestId, PeerMessage.PromiseAnswer answer) implements AuthorityAction {}

    /** Respond to {@link AuthorityEvent.AdoptAsked}. */
    record AnswerAdopt(long requestId, PeerMessage.AdoptAnswer answer) implements AuthorityAction {}

    /**
     * This node owns the shard from now on, without the predecessor's table: open it in the arbiter table.
     *
     * @param created whether the zone record was created just now, so that no id can have been claimed before
     */
    record OpenShard(int shard, boolean created) implements AuthorityAction {}

    /** This node lost the shard: close it in the arbiter table. A {@link HandOverShard} may follow. */
    record CloseShard(int shard) implements AuthorityAction {}

    /** Send the shard's table with this version to its new owner. It replaces a {@link CloseShard}. */
    record HandOverShard(int shard, HostId to, String address, long version) implements AuthorityAction {}

    /** The table received for this shard and version is the direct predecessor's: the arbiter table may accept it. */
    record AcceptHandOver(int shard, long version) implements AuthorityAction {}
}
