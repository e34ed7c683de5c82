package org.trefoilledge.sidecar;

import java.util.Optional;
import java.util.function.Consumer;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.OrganisationId;
import org.trefoilledge.core.ZoneId;

/** A simulated fleet that enforces the limits of organisations, and the faults that can be injected into it. */
interface LimitMechanism {
    /** Sends a request to a node; the consumer receives whether it is admitted. */
    void request(HostId node, OrganisationId organisation, Consumer<Boolean> onDecision);

    boolean acceptsRequests(HostId node);

    /** Cuts a zone off from the other zones and the store; empty ends the fault. */
    void isolateZone(Optional<ZoneId> zone);

    void setStoreUnavailable(boolean unavailable);

    /** Replaces a node by a new one with the given incarnation. */
    void restart(HostId host, int incarnation);

    /** Pauses the owner of the first part of the organisation's limit. */
    void pauseOwner(OrganisationId organisation, long millis);
}
