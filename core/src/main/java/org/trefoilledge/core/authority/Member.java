package org.trefoilledge.core.authority;

import org.trefoilledge.core.HostId;
import org.trefoilledge.core.Incarnation;

/**
 * A member of a zone's panel.
 *
 * @param incarnation the run of the host's node that may own shards
 * @param since the record version that set the member's state; distinguishes repeated removals of one member
 */
public record Member(HostId host, Incarnation incarnation, String address, State state, long since) {
    /** Whether reads of the record extend the member's authority. */
    public enum State {
        ACTIVE,
        REMOVING
    }

    boolean active() {
        return state == State.ACTIVE;
    }

    Member with(State next, long version) {
        return new Member(host, incarnation, address, next, version);
    }
}
