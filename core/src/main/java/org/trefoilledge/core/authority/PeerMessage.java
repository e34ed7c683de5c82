package org.trefoilledge.core.authority;

import java.util.Optional;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.Incarnation;

/** The messages between the panel members of a zone. */
public sealed interface PeerMessage {
    /**
     * Asks for a promise, or only for the record if the version is 0.
     *
     * @param version the record version that the sender knows
     */
    record PromiseRequest(long version, Incarnation incarnation) implements PeerMessage {}

    /**
     * Answers a {@link PromiseRequest}.
     *
     * @param version the version that the voter knows; 0 if it is recovering and its answer must not be counted
     * @param record the voter's record, if it is newer than the sender's
     */
    record PromiseAnswer(boolean granted, Incarnation incarnation, long version, Optional<ZoneRecord> record)
            implements PeerMessage {}

    /**
     * Asks a voter to adopt a record version.
     *
     * @param subject the member that is to be removed, if any
     * @param confirm whether this is the second round
     */
    record AdoptRequest(ZoneRecord record, Optional<HostId> subject, boolean confirm) implements PeerMessage {}

    /**
     * Answers an {@link AdoptRequest}.
     *
     * @param adopted whether the voter counts and knows the requested version or a later one
     * @param promiseRunning whether a promise of the voter to the subject has not expired
     */
    record AdoptAnswer(boolean adopted, Incarnation incarnation, boolean promiseRunning, long version)
            implements PeerMessage {}
}
