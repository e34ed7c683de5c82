package org.trefoilledge.sidecar;

import java.util.Objects;
import org.trefoilledge.core.ServiceId;

/**
 * The last announced state of the upstream on this host.
 *
 * @param id instance id of the upstream, empty if there is none
 * @param slots number of requests that the upstream processes concurrently
 */
record LocalUpstream(String id, ServiceId service, int slots, State state) {
    /** Availability of the upstream. */
    enum State {
        SERVING,
        /** Finishes its running requests and accepts no new ones. */
        DRAINING,
        /** Never announced, or its heartbeats have stopped. */
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

    // The generated methods of a record are slow before JIT compilation.
    @Override
    public boolean equals(Object other) {
        return other instanceof LocalUpstream that
                && that.slots == slots
                && that.state == state
                && that.id.equals(id)
                && that.service.equals(service);
    }

    @Override
    public int hashCode() {
        return 31 * (31 * (31 * id.hashCode() + service.hashCode()) + slots) + state.hashCode();
    }
}
