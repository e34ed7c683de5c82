package org.trefoilledge.sidecar;

import java.util.Optional;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.trefoilledge.core.ServiceId;

/**
 * Tracks the state of the upstream on this host from its announcements. A run that has announced its end never serves
 * again; delayed announcements of earlier runs are ignored. Used on the control thread.
 */
final class UpstreamWatch {
    private static final Logger LOG = LoggerFactory.getLogger(UpstreamWatch.class);
    /** Heartbeat intervals without a heartbeat after which the upstream counts as gone. */
    private static final int MAX_MISSED_HEARTBEATS = 4;

    private final ServiceId service;
    private final long heartbeatIntervalMillis;
    private final LongSupplier wallClock;
    private LocalUpstream current;
    private long lastSequence;
    private long startedMillis = Long.MIN_VALUE;
    private long lastHeartbeatMillis;
    /** Whether the last heartbeat of the current run has announced its end. */
    private boolean draining;

    private boolean deregistered;
    private DepartedRuns departed = DepartedRuns.NONE;
    /** The newest heartbeat, until it is taken. */
    private Optional<Announcement.Heartbeat> newest = Optional.empty();

    /** @param wallClock time of day in milliseconds, by which upstreams state their start */
    UpstreamWatch(ServiceId service, long heartbeatMillis, LongSupplier wallClock) {
        this.service = service;
        this.heartbeatIntervalMillis = heartbeatMillis;
        this.wallClock = wallClock;
        this.current = LocalUpstream.none(service);
    }

    LocalUpstream current() {
        return current;
    }

    /** Returns the runs that have announced their end, to this run of the node or to an earlier one. */
    DepartedRuns departed() {
        return departed;
    }

    /** Returns the newest heartbeat if it was not returned before. Late heartbeats, which are ignored, are left out. */
    Optional<Announcement.Heartbeat> takeNewest() {
        Optional<Announcement.Heartbeat> taken = newest;
        newest = Optional.empty();
        return taken;
    }

    /** Applies an announcement; returns whether the announcement is valid. */
    boolean applyAnnouncement(Announcement announcement, long now) {
        if (announcement instanceof Announcement.Heartbeat heartbeat) {
            return applyHeartbeat(heartbeat, now);
        }
        if (announcement instanceof Announcement.Deregistration deregistration) {
            applyDeregistration(deregistration.id());
            return true;
        }
        return false;
    }

    /**
     * A deregistration names only an id, which several runs can have. It is that of the current run, unless this run is
     * known to have left: then a later run with its id, which this node has not heard of, may have deregistered.
     */
    private void applyDeregistration(String id) {
        boolean leftBefore = departed.includes(id, startedMillis) && (deregistered || !draining);
        if (id.equals(current.id()) && !leftBefore) {
            deregistered = true;
            departed = departed.withRun(startedMillis);
        } else {
            departed = departed.withDeregistration(id, wallClock.getAsLong());
        }
        drainIfDeparted("deregistered");
    }

    /** Adds the runs that had departed during an earlier run of this node. */
    void restoreDeparted(DepartedRuns earlier) {
        departed = departed.merge(earlier);
        drainIfDeparted("has left during an earlier run of this node");
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
        if (heartbeat.draining()) {
            departed = departed.withRun(heartbeat.startedMillis());
        }
        boolean newerRun = heartbeat.startedMillis() > startedMillis;
        boolean sameRun =
                heartbeat.startedMillis() == startedMillis && heartbeat.id().equals(current.id());
        if (!newerRun && !(sameRun && heartbeat.sequence() > lastSequence)) {
            drainIfDeparted("heartbeat");
            return true;
        }
        startedMillis = heartbeat.startedMillis();
        draining = heartbeat.draining();
        deregistered &= sameRun;
        lastSequence = heartbeat.sequence();
        lastHeartbeatMillis = now;
        newest = Optional.of(heartbeat);
        LocalUpstream.State state = departed.includes(heartbeat.id(), startedMillis)
                ? LocalUpstream.State.DRAINING
                : LocalUpstream.State.SERVING;
        updateUpstream(new LocalUpstream(heartbeat.id(), service, heartbeat.slots(), state), "heartbeat");
        return true;
    }

    private void drainIfDeparted(String reason) {
        if (current.serving() && departed.includes(current.id(), startedMillis)) {
            updateUpstream(current.withState(LocalUpstream.State.DRAINING), reason);
        }
    }

    private void updateUpstream(LocalUpstream next, String reason) {
        if (!next.equals(current)) {
            LOG.info("upstream: {} is {}: {}", next.id(), next.state(), reason);
            current = next;
        }
    }
}
