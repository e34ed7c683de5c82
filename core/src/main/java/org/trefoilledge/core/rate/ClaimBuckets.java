package org.trefoilledge.core.rate;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.trefoilledge.core.OrganisationId;
import org.trefoilledge.core.routing.OrganisationPolicy;

/**
 * The buckets that go with one claim: those of a shard's organisations, or the reserve of a zone. It gives tokens only
 * while nobody else can have the claim. Not thread-safe.
 */
public final class ClaimBuckets {
    /** An organisation that is refused comes back within this time, even if its next token takes longer. */
    private static final long MAX_RETRY_AFTER_MILLIS = 1_000;
    /** Tokens that are not needed yet are only given from a bucket that is filled to this part. */
    private static final double MIN_PREFETCH_FILL_RATIO = 0.5;

    private final Map<OrganisationId, TokenBucket> buckets = new HashMap<>();
    private final Function<OrganisationPolicy, TokenBucket.Limits> bucketLimits;
    private final double initialTokens;
    private long validUntilMillis = Long.MIN_VALUE;

    private ClaimBuckets(Function<OrganisationPolicy, TokenBucket.Limits> sizes, double startTokens) {
        this.bucketLimits = sizes;
        this.initialTokens = startTokens;
    }

    /** Creates the buckets of a new owner of a shard. */
    public static ClaimBuckets forOwner(RateTolerance tolerance) {
        return new ClaimBuckets(tolerance::ownerLimits, tolerance.initialTokens());
    }

    /** Creates the buckets of a new reserve of a zone. */
    public static ClaimBuckets forReserve(RateTolerance tolerance) {
        return new ClaimBuckets(tolerance::reserveLimits, 0);
    }

    /** Takes the limits that are in force; organisations that are absent lose their bucket. */
    public void configure(Collection<OrganisationPolicy> limited, long now) {
        Map<OrganisationId, TokenBucket> before = new HashMap<>(buckets);
        buckets.clear();
        for (OrganisationPolicy policy : limited) {
            TokenBucket known = before.get(policy.id());
            TokenBucket bucket = known != null ? known : new TokenBucket(now);
            bucket.resize(bucketLimits.apply(policy), now);
            if (known == null) {
                bucket.add(initialTokens);
            }
            buckets.put(policy.id(), bucket);
        }
    }

    /** Sets the time until which nobody else can have the claim. */
    public void setValidUntil(long millis) {
        validUntilMillis = millis;
    }

    /**
     * Gives tokens.
     *
     * @param needed tokens for requests that wait
     * @param ahead more tokens, for requests that are expected
     * @param now on a clock that counts suspensions, because another node may have taken over during one
     * @return nothing if the claim may have passed to another node, or the organisation is not known here
     */
    public Optional<TokenGrant> grant(OrganisationId organisation, int needed, int ahead, long now) {
        TokenBucket bucket = buckets.get(organisation);
        if (bucket == null || now > validUntilMillis) {
            return Optional.empty();
        }
        int given = bucket.take(needed, now);
        if (given < needed) {
            return Optional.of(new TokenGrant(given, bucket.millisUntilToken(MAX_RETRY_AFTER_MILLIS)));
        }
        int more = bucket.fillRatio(now) >= MIN_PREFETCH_FILL_RATIO ? bucket.take(ahead, now) : 0;
        return Optional.of(new TokenGrant(given + more, 0));
    }
}
