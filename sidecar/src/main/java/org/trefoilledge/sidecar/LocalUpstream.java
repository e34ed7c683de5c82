package org.trefoilledge.sidecar;

import java.util.Objects;
import org.trefoilledge.core.ServiceId;

/**
 * What is known of the upstream on this host.
 *
 * @param id name of the upstream's run
 * @param slots requests that it processes at once
 */
record LocalUpstream(String id, ServiceId service, int slots, State state) {
    /** Whether the upstream may get work. */
    enum State {
        SERVING,
        /** Finishes what it has and leaves. */
        DRAINING,
        /** Not announced, or not for too long. */
        GONE
    }

    LocalUpstream {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(state, "state");
    }

    static LocalUpstream none(ServiceId service) {
        return new LocalUpstream("", service, 1, State.GONE);
    }

    LocalUpstream withState(State next) {
        return new LocalUpstream(id, service, slots, next);
    }

    boolean serving() {
        return state == State.SERVING;
    }
}
