package org.trefoilledge.sidecar;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import org.trefoilledge.core.Clock;
import org.trefoilledge.core.OrganisationId;
import org.trefoilledge.core.share.RateBucket;

/** This node's part of the organisations' limits. Used on the traffic thread, but for {@link #arrivals}. */
final class RateLimits {
    private final Clock clock;
    private final Map<OrganisationId, RateBucket> buckets = new HashMap<>();
    private final Map<OrganisationId, LongAdder> arrivals = new ConcurrentHashMap<>();

    /** Requests a second, and requests at once, that this node may admit. */
    record Part(double ratePerSecond, double depth) {}

    RateLimits(Clock clock) {
        this.clock = clock;
    }

    /** Replaces the parts; organisations that are absent have no limit. */
    void configure(Map<OrganisationId, Part> parts) {
        long now = clock.millis();
        buckets.keySet().retainAll(parts.keySet());
        parts.forEach((organisation, part) -> buckets.computeIfAbsent(organisation, o -> new RateBucket(now))
                .configure(part.ratePerSecond(), part.depth(), now));
    }

    /** Takes a token for a request; returns false if the organisation is over its limit here. */
    boolean tryTake(OrganisationId organisation) {
        arrivals.computeIfAbsent(organisation, o -> new LongAdder()).increment();
        RateBucket bucket = buckets.get(organisation);
        return bucket == null || bucket.tryTake(clock.millis());
    }

    /** Puts back the token of a request that has not run. */
    void giveBack(OrganisationId organisation) {
        RateBucket bucket = buckets.get(organisation);
        if (bucket != null) {
            bucket.giveBack();
        }
    }

    /** Returns the time until a token is there, at most the bound, in milliseconds. */
    long millisUntilToken(OrganisationId organisation, long bound) {
        RateBucket bucket = buckets.get(organisation);
        return bucket == null ? 0 : bucket.millisUntilToken(bound);
    }

    /** Returns the requests of each organisation since the last call. May be called on any thread. */
    Map<OrganisationId, Long> arrivals() {
        Map<OrganisationId, Long> counts = new HashMap<>();
        arrivals.forEach((organisation, count) -> counts.put(organisation, count.sumThenReset()));
        return counts;
    }
}
