package org.trefoilledge.core.rate;

import org.trefoilledge.core.routing.OrganisationPolicy;

/**
 * What the promised tolerance of the limits is used for. In every window an organisation may exceed its rate and burst
 * by a part of them and by some requests. Tokens that a node holds for a moment, the reserves of the zones and the first
 * tokens of a new owner take parts of that tolerance that add up to less than the whole.
 *
 * @param relativeTolerance part of a limit by which the whole fleet may exceed it in a window
 * @param absoluteTolerance requests by which the whole fleet may exceed a limit in a window
 * @param windowMillis length of a window
 * @param zoneCount availability zones, each of which has a reserve
 */
public record RateTolerance(double relativeTolerance, double absoluteTolerance, long windowMillis, int zoneCount) {
    /** Part of the relative tolerance that covers the time for which a node holds a token. */
    private static final double TOKEN_LIFETIME_SHARE = 0.5;
    /** Longest time for which a node holds a token; more would only be needed at links of whole seconds. */
    private static final long MAX_TOKEN_LIFETIME_MILLIS = 400;
    /** Part of the relative tolerance that the reserves of all zones share. */
    private static final double RESERVE_RATE_SHARE = 0.4;
    /** Part of the requests of the tolerance that the reserves of all zones share. */
    private static final double RESERVE_ABSOLUTE_SHARE = 0.48;
    /** Part of the relative tolerance of the bursts that the reserves of all zones share. */
    private static final double RESERVE_BURST_SHARE = 0.95;
    /** Part of the requests of the tolerance that makes an owner's bucket deeper than the burst. */
    private static final double OWNER_CAPACITY_SHARE = 0.3;
    /** Part of the requests of the tolerance with which new owners of all parts start; they may change twice in a window. */
    private static final double INITIAL_TOKENS_SHARE = 0.1;

    private static final double MILLIS_PER_SECOND = 1_000;

    /** Checks the ranges. */
    public RateTolerance {
        if (!(relativeTolerance >= 0) || !(absoluteTolerance >= 0) || windowMillis < 1 || zoneCount < 1) {
            throw new IllegalArgumentException("a tolerance needs a window and a zone and must not be negative");
        }
    }

    /** Returns the time for which a node may use a token, counted from its request for the token, in milliseconds. */
    public long tokenLifetimeMillis() {
        return (long) Math.min(MAX_TOKEN_LIFETIME_MILLIS, TOKEN_LIFETIME_SHARE * relativeTolerance * windowMillis);
    }

    /** Returns the size of the bucket that the owner of a part of a limit keeps for the whole fleet. */
    TokenBucket.Limits ownerLimits(OrganisationPolicy policy) {
        return new TokenBucket.Limits(
                policy.ratePerSecond() / RateClaim.PARTS,
                (policy.burst() + OWNER_CAPACITY_SHARE * absoluteTolerance) / RateClaim.PARTS);
    }

    /** Returns the size of the bucket that the reserve of one zone keeps. */
    TokenBucket.Limits reserveLimits(OrganisationPolicy policy) {
        double ofWindow = policy.ratePerSecond() * windowMillis / MILLIS_PER_SECOND;
        double ofLimit = relativeTolerance * (RESERVE_RATE_SHARE * ofWindow + RESERVE_BURST_SHARE * policy.burst());
        double tokens = (ofLimit + RESERVE_ABSOLUTE_SHARE * absoluteTolerance) / zoneCount;
        // A full bucket gives its depth and what comes in a window.
        double depth = tokens / 2;
        if (depth < 1) {
            depth = Math.min(1, tokens);
        }
        return new TokenBucket.Limits((tokens - depth) * MILLIS_PER_SECOND / windowMillis, depth);
    }

    /** Returns the tokens with which a new owner starts, because it does not know what its predecessor had left. */
    double initialTokens() {
        return INITIAL_TOKENS_SHARE * absoluteTolerance / RateClaim.PARTS;
    }
}
