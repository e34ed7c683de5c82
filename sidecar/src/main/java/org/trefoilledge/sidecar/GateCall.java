package org.trefoilledge.sidecar;

import java.util.function.Consumer;
import org.trefoilledge.core.Importance;
import org.trefoilledge.core.OrganisationId;
import org.trefoilledge.core.RouteId;
import org.trefoilledge.core.overload.GuardedCall;
import org.trefoilledge.wire.generated.Call;
import org.trefoilledge.wire.generated.CallAnswer;

/** A queued or running call of an {@link UpstreamGate}. Not thread-safe: used on the traffic thread only. */
final class GateCall {
    /** Pseudo-organisation of nested calls, which carry no organisation. */
    static final OrganisationId NESTED_ORGANISATION = new OrganisationId("nested");

    /** Nested calls belong to requests that already run, so they precede new requests, except the most important. */
    private static final Importance NESTED_IMPORTANCE = Importance.HIGH;

    /** Pseudo-organisation of requests on open routes, which carry no key. */
    private static final OrganisationId OPEN_ORGANISATION = new OrganisationId("open");

    final Call call;
    final RouteId route;
    final long deadlineMillis;
    final Consumer<CallAnswer> onAnswer;
    final long offeredMillis;
    long startedMillis;
    /** The running call; null while the call is queued. */
    UpstreamPool.Execution execution;

    /** Whether the call was sent to the upstream. */
    boolean sent;

    boolean cancelled;

    GateCall(Call call, long offeredMillis, Consumer<CallAnswer> onAnswer) {
        this.call = call;
        this.route = new RouteId(call.getRoute());
        this.offeredMillis = offeredMillis;
        this.deadlineMillis = offeredMillis + call.getDeadlineMillis();
        this.onAnswer = onAnswer;
    }

    boolean isRunning() {
        return execution != null;
    }

    /** Returns the properties by which the guard queues the call. */
    GuardedCall toGuardedCall(long ticket) {
        OrganisationId organisation = call.getNested()
                ? NESTED_ORGANISATION
                : call.getOrganisation().isEmpty() ? OPEN_ORGANISATION : new OrganisationId(call.getOrganisation());
        return new GuardedCall(
                ticket,
                organisation,
                call.getNested() ? NESTED_IMPORTANCE : Importance.of(call.getImportance()),
                route,
                call.getRootHash(),
                deadlineMillis,
                call.getIdempotent());
    }
}
