package org.trefoilledge.core.routing;

import java.util.Objects;
import org.trefoilledge.core.RouteId;

/**
 * A route that is selected by host and path prefix.
 *
 * @param host host name in lower case, without a port
 * @param pathPrefix prefix that begins and ends with a slash
 * @param idempotent whether a request may be executed more than once
 * @param timeoutMillis maximum time until the caller receives a response
 * @param targetLatencyMillis target response time
 * @param priority importance rank; 0 is the most important
 * @param trafficSplit services that receive the requests, by weight
 * @param maxAttempts maximum number of upstreams to which one request is sent
 * @param open whether requests are accepted without a key
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
    /** Checks that all components are present and in range. */
    public HostRoute {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(trafficSplit, "trafficSplit");
        if (!pathPrefix.startsWith("/") || !pathPrefix.endsWith("/")) {
            throw new IllegalArgumentException("path prefix must begin and end with a slash, but was: " + pathPrefix);
        }
        if (timeoutMillis < 1 || maxAttempts < 1 || priority < 0) {
            throw new IllegalArgumentException("timeout and attempts must be positive on route " + id);
        }
    }
}
