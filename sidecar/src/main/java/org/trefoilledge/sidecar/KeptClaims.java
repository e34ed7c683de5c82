package org.trefoilledge.sidecar;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.trefoilledge.core.Clock;
import org.trefoilledge.core.rate.RateClaim;

/**
 * The claims that this node held when the store was restored from a backup. They stay valid until the lease under which
 * they were confirmed would have ended, and are written again under the next lease. Used on the control thread.
 */
final class KeptClaims {
    private final Clock leaseClock;
    private final Map<RateClaim, Long> untilMillis = new HashMap<>();
    /** Whether the revisions of the claims in the store have to be read before a claim can be written. */
    private boolean listingNeeded;

    /** @param leaseClock clock that includes the time for which the host is suspended */
    KeptClaims(Clock leaseClock) {
        this.leaseClock = leaseClock;
    }

    /** Keeps claims until the given time of the lease clock, unless they are already kept for longer. */
    void keep(Collection<RateClaim> claims, long until) {
        claims.forEach(claim -> untilMillis.merge(claim, until, Math::max));
        listingNeeded = true;
    }

    /** Removes the claims that another node can hold by now, and returns them. */
    List<RateClaim> removeExpired() {
        long now = leaseClock.millis();
        List<RateClaim> expired = new ArrayList<>();
        untilMillis.forEach((claim, until) -> {
            if (until < now) {
                expired.add(claim);
            }
        });
        expired.forEach(untilMillis::remove);
        return expired;
    }

    /** Removes a claim that is confirmed or lost. */
    void remove(RateClaim claim) {
        untilMillis.remove(claim);
    }

    /** Removes all claims, and returns them. */
    List<RateClaim> removeAll() {
        List<RateClaim> all = List.copyOf(untilMillis.keySet());
        untilMillis.clear();
        return all;
    }

    List<RateClaim> claims() {
        return List.copyOf(untilMillis.keySet());
    }

    boolean isEmpty() {
        return untilMillis.isEmpty();
    }

    boolean listingNeeded() {
        return listingNeeded;
    }

    void listingNeeded(boolean needed) {
        listingNeeded = needed;
    }
}
