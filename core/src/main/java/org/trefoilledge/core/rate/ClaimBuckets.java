package org.trefoilledge.core.rate;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.trefoilledge.core.OrganisationId;
import org.trefoilledge.core.routing.OrganisationPolicy;

/**
 * The token buckets of one claim, one bucket for each organisation of a shard or of the reserve of a zone. Tokens are
 * granted only while no other node can hold the claim. Not thread-safe.
 */
public final class ClaimBuckets {
    /** A refused organisation is told to retry within this time, even if its next token takes longer. */
    private static final long MAX_RETRY_AFTER_MILLIS = 1_000;
    /** Tokens that are not needed yet are granted only from a bucket that is filled at least to this ratio. */
    private static final double MIN_PREFETCH_FILL_RATIO = 0.5;

    private final Map<OrganisationId, TokenBucket> buckets = new HashMap<>();
    private final Function<OrganisationPolicy, TokenBucket.Limits> bucketLimits;
    private final double initialTokens;
    private long validUntilMillis = Long.MIN_VALUE;

    private ClaimBuckets(Function<OrganisationPolicy, TokenBucket.Limits> bucketLimits, double initialTokens) {
        this.bucketLimits = bucketLimits;
        this.initialTokens = initialTokens;
    }

    /** Creates the buckets of a new owner of a part of a shard. */
    public static ClaimBuckets forOwner(RateTolerance tolerance) {
        return new ClaimBuckets(tolerance::ownerLimits, tolerance.initialTokens());
    }

    /** Creates the buckets of a new owner of the reserve of a zone. */
    public static ClaimBuckets forReserve(RateTolerance tolerance) {
        return new ClaimBuckets(tolerance::reserveLimits, 0);
    }

    /** Sets the current limits. Buckets of organisations that are absent are removed. */
    public void configure(Collection<OrganisationPolicy> limited, long now) {
        Map<OrganisationId, TokenBucket> before = new HashMap<>(buckets);
        buckets.clear();
        for (OrganisationPolicy policy : limited) {
            TokenBucket existing = before.get(policy.id());
            TokenBucket bucket = existing != null ? existing : new TokenBucket(now);
            bucket.resize(bucketLimits.apply(policy), now);
            if (existing == null) {
                bucket.add(initialTokens);
            }
            buckets.put(policy.id(), bucket);
        }
    }

    /** Sets the time until which no other node can hold the claim. */
    public void setValidUntil(long millis) {
        validUntilMillis = millis;
    }

    /**
     * Grants tokens to an organisation.
     *
     * @param needed tokens for waiting requests
     * @param prefetched additional tokens for expected requests
     * @param now time on a clock that also advances while the host is suspended, because another node may acquire the
     *     claim in that time
     * @return the granted tokens; empty if another node may hold the claim or the organisation has no bucket
     */
    public Optional<TokenGrant> grant(OrganisationId organisation, int needed, int prefetched, long now) {
        TokenBucket bucket = buckets.get(organisation);
        if (bucket == null || now > validUntilMillis) {
            return Optional.empty();
        }
        int granted = bucket.take(needed, now);
        if (granted < needed) {
            return Optional.of(new TokenGrant(granted, bucket.millisUntilToken(MAX_RETRY_AFTER_MILLIS)));
        }
        int additional = bucket.fillRatio(now) >= MIN_PREFETCH_FILL_RATIO ? bucket.take(prefetched, now) : 0;
        return Optional.of(new TokenGrant(granted + additional, 0));
    }
}
