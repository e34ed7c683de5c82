package org.trefoilledge.sidecar;

import java.util.Optional;
import java.util.function.Consumer;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.OrganisationId;
import org.trefoilledge.core.ZoneId;

/** A way in which a fleet keeps the limits of organisations, on virtual time, and the faults that it has to bear. */
interface LimitMechanism {
    void request(HostId node, OrganisationId organisation, Consumer<Boolean> decided);

    boolean acceptsRequests(HostId node);

    void isolateZone(Optional<ZoneId> zone);

    void setStoreUnavailable(boolean away);

    void restart(HostId host, int run);

    void pauseOwner(OrganisationId organisation, long millis);
}
