package org.trefoilledge.core.overload;

import java.util.Objects;
import org.trefoilledge.core.Importance;
import org.trefoilledge.core.OrganisationId;
import org.trefoilledge.core.RouteId;

/**
 * A call that is offered to a {@link Guard} for admission.
 *
 * @param ticket number chosen by the caller of the guard, unique among queued and running calls
 * @param organisation organisation that the root request belongs to
 * @param importance importance of the root request
 * @param route route of the call, by which its service time is estimated
 * @param rootHash hash of the root request, the same at every hop of its call tree
 * @param deadlineMillis time at which the caller stops waiting and the call expires
 * @param idempotent whether the call may run more than once
 */
public record GuardedCall(
        long ticket,
        OrganisationId organisation,
        Importance importance,
        RouteId route,
        int rootHash,
        long deadlineMillis,
        boolean idempotent) {
    /** Checks that organisation, importance and route are present. */
    public GuardedCall {
        Objects.requireNonNull(organisation, "organisation");
        Objects.requireNonNull(importance, "importance");
        Objects.requireNonNull(route, "route");
    }

    /** Returns the rank of the root request, see {@link AdmissionLevel}. */
    int rank() {
        return AdmissionLevel.rank(importance, rootHash);
    }
}
