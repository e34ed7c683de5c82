package org.trefoilledge.core.membership;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.trefoilledge.core.ZoneId;

/**
 * Whether a node may still trust its configuration: within the grace period it has heard from the store, itself or
 * through gossip, or from members of more than half of the configured zones. Otherwise it may have missed that a key
 * was withdrawn. Not thread-safe.
 */
public final class Isolation {
    private static final long NEVER = Long.MIN_VALUE;

    private final ZoneId own;
    private final long graceMillis;
    private final long startedAt;
    private final Map<ZoneId, Long> zoneHeardAt = new HashMap<>();
    private long storeHeardAt = NEVER;

    /**
     * Creates the state of a node that has heard nothing yet; the grace period begins now.
     *
     * @param graceMillis grace period, or -1 to trust the configuration always
     */
    public Isolation(ZoneId own, long graceMillis, long now) {
        this.own = own;
        this.graceMillis = graceMillis;
        startedAt = now;
    }

    /** The store answered some member the given time ago. */
    public void storeHeard(long ageMillis, long now) {
        storeHeardAt = Math.max(storeHeardAt, now - ageMillis);
    }

    /** A member of the zone sent a message. */
    public void memberHeard(ZoneId zone, long now) {
        zoneHeardAt.put(zone, now);
    }

    /** Returns the age of the latest contact with the store in seconds, rounded up. */
    int storeAgeSeconds(long now) {
        if (storeHeardAt == NEVER) {
            return GossipMessage.NEVER;
        }
        return (int) Math.min(GossipMessage.NEVER - 1L, (now - storeHeardAt + 999) / 1_000);
    }

    /** Returns whether the configuration may still be trusted. */
    public boolean trusted(Collection<ZoneId> zones, long now) {
        if (graceMillis < 0 || now - startedAt <= graceMillis) {
            return true;
        }
        if (storeHeardAt != NEVER && now - storeHeardAt <= graceMillis) {
            return true;
        }
        long heard = zones.stream().filter(zone -> heard(zone, now)).count();
        return 2 * heard > zones.size();
    }

    private boolean heard(ZoneId zone, long now) {
        Long at = zoneHeardAt.get(zone);
        return zone.equals(own) || (at != null && now - at <= graceMillis);
    }
}
