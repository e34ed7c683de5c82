package org.trefoilledge.sidecar;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.trefoilledge.core.ServiceId;

/**
 * Tracks the state of the upstream on this host from its announcements. A run that has started to drain never serves
 * again; delayed announcements of earlier runs are ignored. Used on the control thread.
 */
final class UpstreamWatch {
    private static final Logger LOG = LoggerFactory.getLogger(UpstreamWatch.class);
    /** Heartbeat intervals without a heartbeat after which the upstream counts as gone. */
    private static final int MAX_MISSED_HEARTBEATS = 4;

    private final ServiceId service;
    private final long heartbeatIntervalMillis;
    private LocalUpstream current;
    private long lastSequence;
    private long startedMillis = Long.MIN_VALUE;
    private long lastHeartbeatMillis;
    private boolean draining;
    /**
     * Id of the last upstream that deregistered or was restored as drained. This node may not have received a heartbeat of
     * that run.
     */
    private String drainedId = "";
    /** Start time of the run that was already draining before this node started. */
    private long restoredStartMillis = Long.MIN_VALUE;

    UpstreamWatch(ServiceId service, long heartbeatMillis) {
        this.service = service;
        this.heartbeatIntervalMillis = heartbeatMillis;
        this.current = LocalUpstream.none(service);
    }

    LocalUpstream current() {
        return current;
    }

    /** Applies an announcement; returns whether the announcement is valid. */
    boolean applyAnnouncement(Announcement announcement, long now) {
        if (announcement instanceof Announcement.Heartbeat heartbeat) {
            return applyHeartbeat(heartbeat, now);
        }
        if (announcement instanceof Announcement.Deregistration deregistration) {
            drainedId = deregistration.id();
            if (deregistration.id().equals(current.id())) {
                draining = true;
                updateUpstream(current.withState(LocalUpstream.State.DRAINING), "deregistered");
            }
            return true;
        }
        return false;
    }

    /** Restores, from the entry of an earlier run of this node, an upstream run that was already draining. */
    void restoreDrained(String id, long drainingRunStart) {
        drainedId = id;
        restoredStartMillis = drainingRunStart;
        if (!current.id().isEmpty() && startedMillis <= drainingRunStart) {
            draining = true;
            updateUpstream(
                    current.withState(LocalUpstream.State.DRAINING),
                    "started draining during an earlier run of this node");
        }
    }

    /** Returns the wall-clock start time of the last upstream run that is known to have left, or 0 if there is none. */
    long drainingRunStartMillis() {
        return Math.max(draining ? startedMillis : 0, Math.max(0, restoredStartMillis));
    }

    /** Marks the upstream as gone if its heartbeats have stopped. */
    void checkHeartbeatTimeout(long now) {
        if (current.state() != LocalUpstream.State.GONE
                && now - lastHeartbeatMillis > MAX_MISSED_HEARTBEATS * heartbeatIntervalMillis) {
            updateUpstream(current.withState(LocalUpstream.State.GONE), "heartbeats stopped");
        }
    }

    private boolean applyHeartbeat(Announcement.Heartbeat heartbeat, long now) {
        if (!heartbeat.service().equals(service) || heartbeat.slots() < 1) {
            return false;
        }
        boolean newerRun = heartbeat.startedMillis() > startedMillis;
        boolean sameRun =
                heartbeat.startedMillis() == startedMillis && heartbeat.id().equals(current.id());
        if (!newerRun && !(sameRun && heartbeat.sequence() > lastSequence)) {
            return true;
        }
        boolean alreadyDrained = heartbeat.startedMillis() <= restoredStartMillis
                || (heartbeat.id().equals(drainedId)
                        && startedMillis == Long.MIN_VALUE
                        && restoredStartMillis == Long.MIN_VALUE);
        draining = heartbeat.draining() || alreadyDrained || (draining && !newerRun);
        startedMillis = heartbeat.startedMillis();
        lastSequence = heartbeat.sequence();
        lastHeartbeatMillis = now;
        LocalUpstream.State state = draining ? LocalUpstream.State.DRAINING : LocalUpstream.State.SERVING;
        updateUpstream(new LocalUpstream(heartbeat.id(), service, heartbeat.slots(), state), "heartbeat");
        return true;
    }

    private void updateUpstream(LocalUpstream next, String reason) {
        if (!next.equals(current)) {
            LOG.info("upstream: {} is {}: {}", next.id(), next.state(), reason);
            current = next;
        }
    }
}
