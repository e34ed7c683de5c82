package org.trefoilledge.core.overload;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.trefoilledge.core.HostId;

/**
 * The hosts that are avoided for a short time, because they were unreachable or refused a request for a reason other
 * than overload. Answers an upstream that drains, is gone or accepts no connection. Not thread-safe.
 */
public final class HostBackoff {
    private static final long BACKOFF_MILLIS = 500;

    private final Map<HostId, Long> untilMillis = new HashMap<>();

    /**
     * Avoids a host from now on.
     *
     * @param now current time in milliseconds
     */
    public void add(HostId host, long now) {
        untilMillis.put(host, now + BACKOFF_MILLIS);
    }

    /** Returns whether a host is avoided at the given time. Changes nothing. */
    public boolean isActive(HostId host, long now) {
        return now < untilMillis.getOrDefault(host, now);
    }

    /** Returns the hosts that are avoided at the given time. The set must not be kept. */
    public Set<HostId> active(long now) {
        if (!untilMillis.isEmpty()) {
            untilMillis.values().removeIf(until -> now >= until);
        }
        return untilMillis.keySet();
    }
}
