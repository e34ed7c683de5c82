package org.trefoilledge.sidecar;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.trefoilledge.core.ServiceId;

/**
 * Decides from the announcements whether the upstream on this host may get work. A run that has said that it leaves
 * stays out; a late announcement of an earlier run has no effect. Used on the control thread.
 */
final class UpstreamWatch {
    private static final Logger LOG = LoggerFactory.getLogger(UpstreamWatch.class);
    /** Intervals without an announcement after which the upstream counts as gone. */
    private static final int MAX_MISSED_HEARTBEATS = 4;

    private final ServiceId service;
    private final long heartbeatIntervalMillis;
    private LocalUpstream current;
    private long lastSequence;
    private long startedMillis = Long.MIN_VALUE;
    private long lastHeartbeatMillis;
    private boolean draining;
    /** The run that has said last that it leaves; this node may have started after its last heartbeat. */
    private String drainedId = "";
    /** Start of the run that had left before this node started. */
    private long restoredStartMillis = Long.MIN_VALUE;

    UpstreamWatch(ServiceId service, long heartbeatMillis) {
        this.service = service;
        this.heartbeatIntervalMillis = heartbeatMillis;
        this.current = LocalUpstream.none(service);
    }

    LocalUpstream current() {
        return current;
    }

    /** Takes an announcement; returns whether it could be understood. */
    boolean applyAnnouncement(Announcement announcement, long now) {
        if (announcement instanceof Announcement.Heartbeat heartbeat) {
            return applyHeartbeat(heartbeat, now);
        }
        if (announcement instanceof Announcement.Deregistration gone) {
            drainedId = gone.id();
            if (gone.id().equals(current.id())) {
                draining = true;
                updateUpstream(current.withState(LocalUpstream.State.DRAINING), "it leaves");
            }
            return true;
        }
        return false;
    }

    /** Takes what an earlier run of this node knew: a run of the upstream that has said that it leaves. */
    void restoreDrained(String id, long runStartedMillis) {
        drainedId = id;
        restoredStartMillis = runStartedMillis;
        if (id.equals(current.id()) && startedMillis <= runStartedMillis) {
            draining = true;
            updateUpstream(
                    current.withState(LocalUpstream.State.DRAINING),
                    "it has told an earlier run of this node that it leaves");
        }
    }

    /** Returns the start of the upstream's run that has said that it leaves, 0 if it has not. */
    long drainingRunStartMillis() {
        return draining ? startedMillis : 0;
    }

    /** Notices that announcements have stopped. */
    void checkHeartbeatTimeout(long now) {
        if (current.state() != LocalUpstream.State.GONE
                && now - lastHeartbeatMillis > MAX_MISSED_HEARTBEATS * heartbeatIntervalMillis) {
            updateUpstream(current.withState(LocalUpstream.State.GONE), "its announcements have stopped");
        }
    }

    private boolean applyHeartbeat(Announcement.Heartbeat heartbeat, long now) {
        if (!heartbeat.service().equals(service) || heartbeat.slots() < 1) {
            return false;
        }
        boolean later = heartbeat.startedMillis() > startedMillis;
        boolean sameRun =
                heartbeat.startedMillis() == startedMillis && heartbeat.id().equals(current.id());
        if (!later && !(sameRun && heartbeat.sequence() > lastSequence)) {
            return true;
        }
        boolean leftUnseen = heartbeat.id().equals(drainedId)
                && ((startedMillis == Long.MIN_VALUE && restoredStartMillis == Long.MIN_VALUE)
                        || heartbeat.startedMillis() <= restoredStartMillis);
        draining = heartbeat.draining() || leftUnseen || (draining && !later);
        startedMillis = heartbeat.startedMillis();
        lastSequence = heartbeat.sequence();
        lastHeartbeatMillis = now;
        LocalUpstream.State state = draining ? LocalUpstream.State.DRAINING : LocalUpstream.State.SERVING;
        updateUpstream(new LocalUpstream(heartbeat.id(), service, heartbeat.slots(), state), "it says so");
        return true;
    }

    private void updateUpstream(LocalUpstream next, String reason) {
        if (!next.equals(current)) {
            LOG.info("upstream: {} is {}, because {}", next.id(), next.state(), reason);
            current = next;
        }
    }
}
