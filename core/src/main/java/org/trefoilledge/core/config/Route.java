package org.trefoilledge.core.config;

import org.trefoilledge.core.Importance;
import org.trefoilledge.core.RouteId;
import org.trefoilledge.core.ServiceId;

/**
 * A route of the inventory.
 *
 * @param method HTTP method in upper case
 * @param path exact path, or a path prefix if it ends in {@code /*}
 * @param idempotent whether a request may be executed more than once
 * @param open whether callers may omit the key
 * @param internal whether only upstreams may call the route, within a running request
 */
public record Route(
        RouteId id,
        String method,
        String path,
        ServiceId service,
        Importance importance,
        boolean idempotent,
        boolean open,
        boolean internal) {
    /** Checks method and path. */
    public Route {
        if (method == null || !method.matches("[A-Z]{1,16}")) {
            throw new IllegalArgumentException(
                    "route " + id + ": method must be an upper-case HTTP method, but was: " + method);
        }
        if (path == null || !path.startsWith("/") || path.indexOf('?') >= 0) {
            throw new IllegalArgumentException(
                    "route " + id + ": path must start with / and have no query, but was: " + path);
        }
        if (path.startsWith("/.trefoilledge")) {
            throw new IllegalArgumentException("route " + id + ": paths under /.trefoilledge are reserved");
        }
        boolean misplacedStar = path.indexOf('*') >= 0 && path.indexOf('*') != path.length() - 1;
        boolean bareStar = path.endsWith("*") && !path.endsWith("/*");
        if (misplacedStar || bareStar) {
            throw new IllegalArgumentException(
                    "route " + id + ": a path may have * only as its last part, as in /orders/*, but was: " + path);
        }
        if (open && internal) {
            throw new IllegalArgumentException("route " + id + ": a route cannot be both open and internal");
        }
    }

    /** Returns whether the path is a prefix instead of an exact path. */
    public boolean matchesPrefix() {
        return path.endsWith("/*");
    }
}
