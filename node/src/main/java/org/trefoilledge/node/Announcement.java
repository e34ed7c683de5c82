package org.trefoilledge.node;

import org.trefoilledge.core.ServiceId;

/** What the upstream on this host last said about itself. */
record Announcement(ServiceId service, String address, int slots, int connections, State state, long receivedMillis) {
    /** An upstream that missed this much is gone: three announcements, which come every second. */
    static final long VALID_MILLIS = 3_000;

    enum State {
        STARTING,
        SERVING,
        DRAINING
    }

    boolean valid(long now) {
        return now - receivedMillis <= VALID_MILLIS;
    }
}
