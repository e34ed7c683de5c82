package org.trefoilledge.core.routing;

import java.util.Objects;
import org.trefoilledge.core.ServiceId;

/**
 * What the operator states about the upstreams of a service.
 *
 * @param coldStartMillis time for which an upstream is cold after its start
 * @param coldPerSecond requests per second that an upstream handles while it is cold; 0 if it handles any number
 * @param healthPath path at which an upstream responds to health probes, empty if there is none
 */
public record ServicePolicy(ServiceId id, long coldStartMillis, double coldPerSecond, String healthPath) {
    /** Checks that times and rates are not negative. */
    public ServicePolicy {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(healthPath, "healthPath");
        if (coldStartMillis < 0 || !(coldPerSecond >= 0) || Double.isInfinite(coldPerSecond)) {
            throw new IllegalArgumentException("cold times and rates of " + id + " must not be negative");
        }
    }

    /** Returns whether upstreams are limited while they are cold. */
    public boolean limitsColdUpstreams() {
        return coldPerSecond > 0;
    }
}
