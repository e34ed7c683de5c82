package org.trefoilledge.core.authority;

import org.trefoilledge.core.HostId;

/** An action for the node of an {@link Authority}. Failed requests may be dropped; swaps must report their outcome. */
public sealed interface AuthorityAction {
    /** Read the zone record and report {@link AuthorityEvent.RecordRead} or {@link AuthorityEvent.ReadFailed}. */
    record ReadRecord(long sentAt) implements AuthorityAction {}

    /** Write the record if the key has the expected revision (0: the key is absent), and report the outcome. */
    record SwapRecord(long expectedRevision, ZoneRecord record) implements AuthorityAction {}

    /** Send a request for a promise. The response repeats {@code sentAt}. */
    record SendPromise(HostId to, String address, long sentAt, PeerMessage.PromiseRequest request)
            implements AuthorityAction {}

    /** Send a request to adopt a version. The response repeats {@code exchange}; 0 means that no response is needed. */
    record SendAdopt(HostId to, String address, long exchange, PeerMessage.AdoptRequest request)
            implements AuthorityAction {}

    /** Respond to {@link AuthorityEvent.PromiseAsked}. */
    record AnswerPromise(long requestId, PeerMessage.PromiseAnswer answer) implements AuthorityAction {}

    /** Respond to {@link AuthorityEvent.AdoptAsked}. */
    record AnswerAdopt(long requestId, PeerMessage.AdoptAnswer answer) implements AuthorityAction {}

    /**
     * Open the shard in the arbiter table: this node owns it now, but has not received the previous owner's table.
     *
     * @param created whether the zone record has just been created, so that no id can have been claimed before
     */
    record OpenShard(int shard, boolean created) implements AuthorityAction {}

    /** Close the shard in the arbiter table: this node no longer owns it. */
    record CloseShard(int shard) implements AuthorityAction {}

    /** Send the shard's table with this version to its new owner. Issued instead of a {@link CloseShard}. */
    record HandOverShard(int shard, HostId to, String address, long version) implements AuthorityAction {}

    /** Accept the table received for this shard and version: it comes from the direct predecessor. */
    record AcceptHandOver(int shard, long version) implements AuthorityAction {}
}
