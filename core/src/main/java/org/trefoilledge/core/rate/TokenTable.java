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
public final class TokenTable {
    /** An organisation that is refused comes back within this time, even if its next token takes longer. */
    private static final long LONGEST_RETRY_MILLIS = 1_000;
    /** Tokens that are not needed yet are only given from a bucket that is filled to this part. */
    private static final double AHEAD_LEVEL = 0.5;

    private final Map<OrganisationId, RateBucket> buckets = new HashMap<>();
    private final Function<OrganisationPolicy, RateBucket.Size> sizes;
    private final double startTokens;
    private long validUntilMillis = Long.MIN_VALUE;

    private TokenTable(Function<OrganisationPolicy, RateBucket.Size> sizes, double startTokens) {
        this.sizes = sizes;
        this.startTokens = startTokens;
    }

    /** Creates the buckets of a new owner of a shard. */
    public static TokenTable ofOwner(RateTolerance tolerance) {
        return new TokenTable(tolerance::owner, tolerance.startTokens());
    }

    /** Creates the buckets of a new reserve of a zone. */
    public static TokenTable ofReserve(RateTolerance tolerance) {
        return new TokenTable(tolerance::reserve, 0);
    }

    /** Takes the limits that are in force; organisations that are absent lose their bucket. */
    public void configure(Collection<OrganisationPolicy> limited, long now) {
        Map<OrganisationId, RateBucket> before = new HashMap<>(buckets);
        buckets.clear();
        for (OrganisationPolicy policy : limited) {
            RateBucket known = before.get(policy.id());
            RateBucket bucket = known != null ? known : new RateBucket(now);
            bucket.resize(sizes.apply(policy), now);
            if (known == null) {
                bucket.add(startTokens);
            }
            buckets.put(policy.id(), bucket);
        }
    }

    /** Sets the time until which nobody else can have the claim. */
    public void validUntil(long millis) {
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
    public Optional<TokenGrant> give(OrganisationId organisation, int needed, int ahead, long now) {
        RateBucket bucket = buckets.get(organisation);
        if (bucket == null || now > validUntilMillis) {
            return Optional.empty();
        }
        int given = bucket.take(needed, now);
        if (given < needed) {
            return Optional.of(new TokenGrant(given, bucket.millisUntilToken(LONGEST_RETRY_MILLIS)));
        }
        int more = bucket.level(now) >= AHEAD_LEVEL ? bucket.take(ahead, now) : 0;
        return Optional.of(new TokenGrant(given + more, 0));
    }
}
