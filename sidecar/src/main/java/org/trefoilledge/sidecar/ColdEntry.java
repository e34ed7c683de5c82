package org.trefoilledge.sidecar;

import org.trefoilledge.core.Clock;
import org.trefoilledge.core.routing.ServicePolicy;

/**
 * Tells whether this node publishes its upstream as cold: as soon as the upstream announces it, or when the gate treats it
 * as cold for longer. Passes the announcements to the gate. Used on the control thread.
 */
final class ColdEntry {
    /** Time after an announcement in which the gate may not have applied it yet. */
    private static final long APPLY_MILLIS = 500;

    private final SidecarSettings settings;
    private final ConfigState configState;
    private final TrafficPlane traffic;
    private final Clock clock;
    private long announcedMillis = Long.MIN_VALUE / 2;
    private long coldUntilMillis = Long.MIN_VALUE;

    /** @param clock clock that includes the time for which the host is suspended */
    ColdEntry(SidecarSettings settings, ConfigState configState, TrafficPlane traffic, Clock clock) {
        this.settings = settings;
        this.configState = configState;
        this.traffic = traffic;
        this.clock = clock;
    }

    /** Records an announcement of the upstream. */
    void announce(Announcement.Heartbeat heartbeat) {
        if (settings.bounds().coldRequests().isEmpty()) {
            return;
        }
        traffic.announceCold(heartbeat);
        announcedMillis = clock.millis();
        coldUntilMillis = announcedMillis + heartbeat.coldRemainingMillis().orElse(0);
    }

    /** Returns whether other nodes should treat the upstream as cold. */
    boolean isCold() {
        long now = clock.millis();
        boolean gateKnows = now - announcedMillis >= APPLY_MILLIS;
        return isLimited() && (now < coldUntilMillis || (gateKnows && traffic.isUpstreamCold()));
    }

    private boolean isLimited() {
        return settings.bounds().coldRequests().isPresent()
                && configState
                        .config()
                        .flatMap(config -> config.service(settings.service()))
                        .map(ServicePolicy::limitsColdUpstreams)
                        .orElse(false);
    }
}
