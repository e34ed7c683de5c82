package org.trefoilledge.core.rate;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.OptionalInt;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.trefoilledge.core.OrganisationId;
import org.trefoilledge.core.routing.OrganisationPolicy;

class ClaimBucketsTest {
    private static final OrganisationId BAKERY = new OrganisationId("bakery");
    private static final RateTolerance TOLERANCE = new RateTolerance(0.1, 20, 5_000, 6);
    private static final long NEVER_EXPIRES = Long.MAX_VALUE;

    private final ClaimBuckets buckets = ClaimBuckets.forOwner(TOLERANCE);

    @Test
    void nothingIsGrantedWithoutAClaim() {
        buckets.configure(List.of(policy(10, 10)), 0);

        assertThat(buckets.grant(BAKERY, 1, 0, 1_000)).isEmpty();
    }

    @Test
    void nothingIsGrantedAfterTheClaimMayHaveExpired() {
        buckets.configure(List.of(policy(10, 10)), 0);
        buckets.setValidUntil(1_000);

        assertThat(buckets.grant(BAKERY, 1, 0, 1_000)).isPresent();
        assertThat(buckets.grant(BAKERY, 1, 0, 1_001)).isEmpty();
    }

    @Test
    void unknownOrganisationGetsNoGrant() {
        buckets.setValidUntil(NEVER_EXPIRES);

        assertThat(buckets.grant(BAKERY, 1, 0, 1_000)).isEmpty();
    }

    @Test
    void newOwnerStartsWithFewerTokensThanTheBurst() {
        buckets.configure(List.of(policy(1, 100)), 0);
        buckets.setValidUntil(NEVER_EXPIRES);

        assertThat(buckets.grant(BAKERY, 50, 0, 0).orElseThrow().tokens()).isEqualTo(1);
    }

    @Test
    void partialGrantContainsTheTimeUntilTheNextToken() {
        buckets.configure(List.of(policy(8, 8)), 0);
        buckets.setValidUntil(NEVER_EXPIRES);
        TokenGrant grant = buckets.grant(BAKERY, 50, 0, 2_000).orElseThrow();

        assertThat(grant.tokens()).isEqualTo(7);
        assertThat(grant.retryAfterMillis()).isEqualTo(250);
    }

    @Test
    void tokensArePrefetchedOnlyWhileTheBucketIsHalfFull() {
        buckets.configure(List.of(policy(10, 10)), 0);
        buckets.setValidUntil(NEVER_EXPIRES);

        assertThat(buckets.grant(BAKERY, 1, 2, 10_000).orElseThrow().tokens()).isEqualTo(3);
        assertThat(buckets.grant(BAKERY, 2, 2, 10_000).orElseThrow().tokens()).isEqualTo(2);
    }

    @Test
    void lowerLimitTakesEffectAtOnce() {
        buckets.configure(List.of(policy(10, 100)), 0);
        buckets.setValidUntil(NEVER_EXPIRES);
        buckets.configure(List.of(policy(1, 0)), 20_000);

        assertThat(buckets.grant(BAKERY, 50, 0, 20_000).orElseThrow().tokens()).isEqualTo(3);
    }

    /** Takes all available tokens in every millisecond of a window plus one token lifetime. */
    @ParameterizedTest
    @CsvSource({"0.3, 0.3, 6", "3, 3, 6", "3, 3, 11", "42, 42, 6", "42, 42, 3", "300, 300, 4", "2000, 100, 1", "3, 0, 2"
    })
    void ownersAndReservesTogetherStayWithinTheTolerance(double perSecond, double burst, int zones) {
        RateTolerance tolerance = new RateTolerance(0.1, 20, 5_000, zones);
        double owner =
                maxGranted(ClaimBuckets.forOwner(tolerance), perSecond, burst, 5_000 + tolerance.tokenLifetimeMillis());
        double reserve = maxGranted(
                ClaimBuckets.forReserve(tolerance), perSecond, burst, 5_000 + tolerance.tokenLifetimeMillis());
        double newOwners = 2 * RateClaim.PARTS * tolerance.initialTokens();

        assertThat(RateClaim.PARTS * owner + zones * reserve + newOwners)
                .isLessThanOrEqualTo((perSecond * 5 + burst) * 1.1 + 20);
    }

    private static double maxGranted(ClaimBuckets claimBuckets, double perSecond, double burst, long window) {
        claimBuckets.configure(List.of(policy(perSecond, burst)), 0);
        claimBuckets.setValidUntil(NEVER_EXPIRES);
        int granted = 0;
        for (long now = 1_000_000; now <= 1_000_000 + window; now++) {
            granted +=
                    claimBuckets.grant(BAKERY, 1_000_000, 0, now).orElseThrow().tokens();
        }
        return granted;
    }

    private static OrganisationPolicy policy(double perSecond, double burst) {
        return new OrganisationPolicy(BAKERY, Set.of("k"), OptionalInt.empty(), perSecond, burst);
    }
}
