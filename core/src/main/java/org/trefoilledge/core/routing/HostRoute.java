package org.trefoilledge.core.routing;

import java.util.Objects;
import org.trefoilledge.core.RouteId;

/**
 * A route that is selected by host and path prefix.
 *
 * @param host host name in lower case, without a port
 * @param pathPrefix prefix that begins and ends with a slash
 * @param idempotent whether a request may run more than once
 * @param timeoutMillis longest time for which a caller is kept waiting
 * @param targetLatencyMillis response-time goal
 * @param priority rank, 0 is served first
 * @param trafficSplit where requests go, by weight
 * @param maxAttempts upstreams to which one request may be sent
 * @param open whether callers need no key
 */
public record HostRoute(
        RouteId id,
        String host,
        String pathPrefix,
        boolean idempotent,
        long timeoutMillis,
        long targetLatencyMillis,
        int priority,
        TrafficSplit trafficSplit,
        int maxAttempts,
        boolean open) {
    /** Checks that every part is present and in range. */
    public HostRoute {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(trafficSplit, "services");
        if (!pathPrefix.startsWith("/") || !pathPrefix.endsWith("/")) {
            throw new IllegalArgumentException("path prefix must begin and end with a slash, but was: " + pathPrefix);
        }
        if (timeoutMillis < 1 || maxAttempts < 1 || priority < 0) {
            throw new IllegalArgumentException("timeout and attempts must be positive on route " + id);
        }
    }
}
