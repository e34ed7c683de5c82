package org.trefoilledge.core.authority;

import java.util.Optional;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.Incarnation;

/**
 * An input event of an {@link Authority}. A response repeats {@code sentAt} or {@code exchange} of the action that
 * caused it.
 */
public sealed interface AuthorityEvent {
    /**
     * The store responded to a read.
     *
     * @param revision the modification revision of the key, 0 if it is absent
     */
    record RecordRead(long sentAt, Optional<ZoneRecord> record, long revision) implements AuthorityEvent {}

    /** The store did not respond to a read. */
    record ReadFailed(long sentAt) implements AuthorityEvent {}

    /** The store confirmed the swap with this operation id. */
    record Swapped(String operation, long revision) implements AuthorityEvent {}

    /** The swap had no effect: the key had another revision. */
    record SwapLostRace(String operation) implements AuthorityEvent {}

    /** The swap certainly had no effect: the store was not reached. */
    record SwapUnavailable(String operation) implements AuthorityEvent {}

    /** The response to the swap was lost: it may have taken effect, or may still do so. */
    record SwapOutcomeUnknown(String operation) implements AuthorityEvent {}

    /** A peer requests a promise. */
    record PromiseAsked(HostId from, long requestId, PeerMessage.PromiseRequest request) implements AuthorityEvent {}

    /** A peer responded to a request for a promise. */
    record PromiseAnswered(HostId from, long sentAt, PeerMessage.PromiseAnswer answer) implements AuthorityEvent {}

    /** A peer requests the adoption of a record version. */
    record AdoptAsked(HostId from, long requestId, PeerMessage.AdoptRequest request) implements AuthorityEvent {}

    /** A peer responded to a request to adopt a record version. */
    record AdoptAnswered(HostId from, long exchange, PeerMessage.AdoptAnswer answer) implements AuthorityEvent {}

    /** Membership considers this run of a host dead. */
    record Suspected(HostId host, Incarnation incarnation) implements AuthorityEvent {}

    /** Membership considers this run of a host alive. */
    record Trusted(HostId host, Incarnation incarnation, String address) implements AuthorityEvent {}

    /**
     * The complete table of a shard has arrived from its previous owner.
     *
     * @param version the record version of the transfer
     */
    record HandOverReceived(int shard, long version) implements AuthorityEvent {}
}
