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
    private static final int MISSED_HEARTBEATS = 4;

    private final ServiceId service;
    private final long heartbeatMillis;
    private LocalUpstream current;
    private long sequence;
    private long startedMillis = Long.MIN_VALUE;
    private long heardMillis;
    private boolean leaving;
    /** The run that has said last that it leaves; this node may have started after its last heartbeat. */
    private String left = "";
    /** Start of the run that had left before this node started. */
    private long leftRun = Long.MIN_VALUE;

    UpstreamWatch(ServiceId service, long heartbeatMillis) {
        this.service = service;
        this.heartbeatMillis = heartbeatMillis;
        this.current = LocalUpstream.none(service);
    }

    LocalUpstream current() {
        return current;
    }

    /** Takes an announcement; returns whether it could be understood. */
    boolean announced(Announcement announcement, long now) {
        if (announcement instanceof Announcement.Heartbeat heartbeat) {
            return heartbeat(heartbeat, now);
        }
        if (announcement instanceof Announcement.Leaving gone) {
            left = gone.id();
            if (gone.id().equals(current.id())) {
                leaving = true;
                change(current.in(LocalUpstream.State.DRAINING), "it leaves");
            }
            return true;
        }
        return false;
    }

    /** Takes what an earlier run of this node knew: a run of the upstream that has said that it leaves. */
    void leftBefore(String id, long runStartedMillis) {
        left = id;
        leftRun = runStartedMillis;
        if (id.equals(current.id()) && startedMillis <= runStartedMillis) {
            leaving = true;
            change(current.in(LocalUpstream.State.DRAINING), "it has told an earlier run of this node that it leaves");
        }
    }

    /** Returns the start of the upstream's run that has said that it leaves, 0 if it has not. */
    long leavingRun() {
        return leaving ? startedMillis : 0;
    }

    /** Notices that announcements have stopped. */
    void tick(long now) {
        if (current.state() != LocalUpstream.State.GONE && now - heardMillis > MISSED_HEARTBEATS * heartbeatMillis) {
            change(current.in(LocalUpstream.State.GONE), "its announcements have stopped");
        }
    }

    private boolean heartbeat(Announcement.Heartbeat heartbeat, long now) {
        if (!heartbeat.service().equals(service) || heartbeat.slots() < 1) {
            return false;
        }
        boolean later = heartbeat.startedMillis() > startedMillis;
        boolean sameRun =
                heartbeat.startedMillis() == startedMillis && heartbeat.id().equals(current.id());
        if (!later && !(sameRun && heartbeat.sequence() > sequence)) {
            return true;
        }
        boolean leftUnseen = heartbeat.id().equals(left)
                && ((startedMillis == Long.MIN_VALUE && leftRun == Long.MIN_VALUE)
                        || heartbeat.startedMillis() <= leftRun);
        leaving = heartbeat.draining() || leftUnseen || (leaving && !later);
        startedMillis = heartbeat.startedMillis();
        sequence = heartbeat.sequence();
        heardMillis = now;
        LocalUpstream.State state = leaving ? LocalUpstream.State.DRAINING : LocalUpstream.State.SERVING;
        change(new LocalUpstream(heartbeat.id(), service, heartbeat.slots(), state), "it says so");
        return true;
    }

    private void change(LocalUpstream next, String reason) {
        if (!next.equals(current)) {
            LOG.info("upstream: {} is {}, because {}", next.id(), next.state(), reason);
            current = next;
        }
    }
}
