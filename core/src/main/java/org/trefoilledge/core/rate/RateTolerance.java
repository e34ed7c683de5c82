package org.trefoilledge.core.rate;

import org.trefoilledge.core.routing.OrganisationPolicy;

/**
 * Divides the tolerance of the rate limits. In each window, an organisation may exceed its rate and burst by a fraction
 * of them plus a number of requests. Prefetched tokens, the reserves of the zones and the initial tokens of new owners
 * each use a share of this tolerance; the shares add up to less than the whole.
 *
 * @param relativeTolerance fraction of a limit by which the whole fleet may exceed it in a window
 * @param absoluteTolerance number of requests by which the whole fleet may exceed a limit in a window
 * @param windowMillis length of a window in milliseconds
 * @param zoneCount number of availability zones, each of which has a reserve
 */
public record RateTolerance(double relativeTolerance, double absoluteTolerance, long windowMillis, int zoneCount) {
    /** Share of the relative tolerance that covers the lifetime of the tokens that nodes hold. */
    private static final double TOKEN_LIFETIME_SHARE = 0.5;
    /** A longer lifetime would only be needed on links with delays of seconds. */
    private static final long MAX_TOKEN_LIFETIME_MILLIS = 400;
    /** Share of the relative tolerance of rates for the reserves of all zones. */
    private static final double RESERVE_RATE_SHARE = 0.4;
    /** Share of the absolute tolerance for the reserves of all zones. */
    private static final double RESERVE_ABSOLUTE_SHARE = 0.48;
    /** Share of the relative tolerance of bursts for the reserves of all zones. */
    private static final double RESERVE_BURST_SHARE = 0.95;
    /** Share of the absolute tolerance by which the capacity of the owners' buckets exceeds the burst. */
    private static final double OWNER_CAPACITY_SHARE = 0.3;
    /** Share of the absolute tolerance for the initial tokens of new owners. Owners may change twice in a window. */
    private static final double INITIAL_TOKENS_SHARE = 0.1;

    private static final double MILLIS_PER_SECOND = 1_000;

    /** Checks the ranges. */
    public RateTolerance {
        if (!(relativeTolerance >= 0) || !(absoluteTolerance >= 0) || windowMillis < 1 || zoneCount < 1) {
            throw new IllegalArgumentException(
                    "tolerances must not be negative, window and number of zones must be at least 1");
        }
    }

    /** Returns the lifetime of a token in milliseconds, counted from the request for it. */
    public long tokenLifetimeMillis() {
        return (long) Math.min(MAX_TOKEN_LIFETIME_MILLIS, TOKEN_LIFETIME_SHARE * relativeTolerance * windowMillis);
    }

    /** Returns the bucket limits of the owner of a part of a limit. */
    TokenBucket.Limits ownerLimits(OrganisationPolicy policy) {
        return new TokenBucket.Limits(
                policy.ratePerSecond() / RateClaim.PARTS,
                (policy.burst() + OWNER_CAPACITY_SHARE * absoluteTolerance) / RateClaim.PARTS);
    }

    /** Returns the bucket limits of the reserve of one zone. */
    TokenBucket.Limits reserveLimits(OrganisationPolicy policy) {
        double perWindow = policy.ratePerSecond() * windowMillis / MILLIS_PER_SECOND;
        double relative = relativeTolerance * (RESERVE_RATE_SHARE * perWindow + RESERVE_BURST_SHARE * policy.burst());
        double tokens = (relative + RESERVE_ABSOLUTE_SHARE * absoluteTolerance) / zoneCount;
        // In one window, a full bucket grants its capacity and the tokens refilled during the window.
        double capacity = tokens / 2;
        if (capacity < 1) {
            capacity = Math.min(1, tokens);
        }
        return new TokenBucket.Limits((tokens - capacity) * MILLIS_PER_SECOND / windowMillis, capacity);
    }

    /** Returns the initial tokens of a new owner, which does not know how many its predecessor had left. */
    double initialTokens() {
        return INITIAL_TOKENS_SHARE * absoluteTolerance / RateClaim.PARTS;
    }
}
