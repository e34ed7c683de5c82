package org.trefoilledge.core.overload;

import java.util.Objects;
import org.trefoilledge.core.Importance;
import org.trefoilledge.core.OrganisationId;

/**
 * A call that is offered to a {@link Guard} for admission.
 *
 * @param ticket number chosen by the caller of the guard, unique among queued and running calls
 * @param organisation organisation that the root request belongs to
 * @param importance importance of the root request
 * @param rootHash hash of the root request, the same at every hop of its call tree
 * @param deadlineMillis time at which the caller stops waiting and the call expires
 * @param idempotent whether the call may run more than once
 */
public record GuardedCall(
        long ticket,
        OrganisationId organisation,
        Importance importance,
        int rootHash,
        long deadlineMillis,
        boolean idempotent) {
    /** Checks that organisation and importance are present. */
    public GuardedCall {
        Objects.requireNonNull(organisation, "organisation");
        Objects.requireNonNull(importance, "importance");
    }

    /** Returns the rank of the root request, see {@link AdmissionLevel}. */
    int rank() {
        return AdmissionLevel.rank(importance, rootHash);
    }
}
