package org.trefoilledge.core.authority;

import java.util.Optional;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.Incarnation;

/** The messages between the panel members of a zone. */
public sealed interface PeerMessage {
    /**
     * Requests a promise, or only the record if the version is 0.
     *
     * @param version the sender's record version
     */
    record PromiseRequest(long version, Incarnation incarnation) implements PeerMessage {}

    /**
     * Responds to a {@link PromiseRequest}.
     *
     * @param version the voter's record version; 0 if it is recovering and its response must not be counted
     * @param record the voter's record, if it is newer than the sender's
     */
    record PromiseAnswer(boolean granted, Incarnation incarnation, long version, Optional<ZoneRecord> record)
            implements PeerMessage {}

    /**
     * Requests a voter to adopt a record version.
     *
     * @param subject the member that is to be removed, if any
     * @param confirm whether this is the second round
     */
    record AdoptRequest(ZoneRecord record, Optional<HostId> subject, boolean confirm) implements PeerMessage {}

    /**
     * Responds to an {@link AdoptRequest}.
     *
     * @param adopted whether the voter may vote and has the requested version or a later one
     * @param promiseRunning whether a promise of the voter to the subject has not expired
     */
    record AdoptAnswer(boolean adopted, Incarnation incarnation, boolean promiseRunning, long version)
            implements PeerMessage {}
}
