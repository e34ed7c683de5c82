package org.trefoilledge.sidecar;

import java.util.OptionalLong;
import org.trefoilledge.core.ServiceId;

/** A status message from the upstream on this host. */
public sealed interface Announcement {
    /** Returns whether the upstream will accept no new requests from now on. */
    default boolean announcesEnd() {
        return this instanceof Deregistration || (this instanceof Heartbeat heartbeat && heartbeat.draining());
    }

    /**
     * A periodic heartbeat with the state of the upstream.
     *
     * @param id instance id of the upstream
     * @param slots number of requests that the upstream processes concurrently
     * @param draining whether the upstream accepts no new requests
     * @param sequence increases with each heartbeat of a run, so that out-of-order heartbeats can be detected
     * @param startedMillis wall-clock start time of the upstream in milliseconds; greater for each later run
     * @param coldRemainingMillis time for which the upstream is still cold, 0 if it is warm, empty if it is not stated
     */
    record Heartbeat(
            String id,
            ServiceId service,
            int slots,
            boolean draining,
            long sequence,
            long startedMillis,
            OptionalLong coldRemainingMillis)
            implements Announcement {
        /** Creates a heartbeat that does not state whether the upstream is cold. */
        public Heartbeat(String id, ServiceId service, int slots, boolean draining, long sequence, long startedMillis) {
            this(id, service, slots, draining, sequence, startedMillis, OptionalLong.empty());
        }
    }

    /** The upstream is shutting down: it accepts no new requests, finishes the running ones, and exits. */
    record Deregistration(String id) implements Announcement {}

    /** A malformed message, which is ignored. */
    record Invalid(String reason) implements Announcement {}
}
