package org.trefoilledge.sidecar;

import org.trefoilledge.core.ServiceId;

/** What the upstream on this host says of itself. */
public sealed interface Announcement {
    /**
     * A heartbeat.
     *
     * @param id name of the upstream's run
     * @param sequence grows with each heartbeat of a run, so that a late one can be told
     * @param startedMillis wall-clock time of the upstream's start; a later run has a greater one
     */
    record Heartbeat(String id, ServiceId service, int slots, boolean draining, long sequence, long startedMillis)
            implements Announcement {}

    /** The upstream leaves: it takes no new work, finishes what it has, and ends. */
    record Deregistration(String id) implements Announcement {}

    /** Something that cannot be understood; it changes nothing. */
    record Invalid(String reason) implements Announcement {}
}
