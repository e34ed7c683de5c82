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

class TokenTableTest {
    private static final OrganisationId BAKERY = new OrganisationId("bakery");
    private static final RateTolerance TOLERANCE = new RateTolerance(0.1, 20, 5_000, 6);
    private static final long FOR_EVER = Long.MAX_VALUE;

    private final TokenTable table = TokenTable.ofOwner(TOLERANCE);

    @Test
    void aTableWithoutAClaimGivesNothing() {
        table.configure(List.of(policy(10, 10)), 0);

        assertThat(table.give(BAKERY, 1, 0, 1_000)).isEmpty();
    }

    @Test
    void nothingIsGivenOnceTheClaimMayHavePassedToAnotherNode() {
        table.configure(List.of(policy(10, 10)), 0);
        table.validUntil(1_000);

        assertThat(table.give(BAKERY, 1, 0, 1_000)).isPresent();
        assertThat(table.give(BAKERY, 1, 0, 1_001)).isEmpty();
    }

    @Test
    void anOrganisationThatIsNotKnownHereGetsNoAnswer() {
        table.validUntil(FOR_EVER);

        assertThat(table.give(BAKERY, 1, 0, 1_000)).isEmpty();
    }

    @Test
    void aNewOwnerStartsWithAFewTokensAndNotWithTheBurst() {
        table.configure(List.of(policy(1, 100)), 0);
        table.validUntil(FOR_EVER);

        assertThat(table.give(BAKERY, 50, 0, 0).orElseThrow().tokens()).isEqualTo(1);
    }

    @Test
    void aRefusalTellsWhenTheNextTokenIsThere() {
        table.configure(List.of(policy(8, 8)), 0);
        table.validUntil(FOR_EVER);
        TokenGrant grant = table.give(BAKERY, 50, 0, 2_000).orElseThrow();

        assertThat(grant.tokens()).isEqualTo(7);
        assertThat(grant.retryAfterMillis()).isEqualTo(250);
    }

    @Test
    void tokensThatAreNotNeededYetAreOnlyGivenWhileTheBucketIsHalfFull() {
        table.configure(List.of(policy(10, 10)), 0);
        table.validUntil(FOR_EVER);

        assertThat(table.give(BAKERY, 1, 2, 10_000).orElseThrow().tokens()).isEqualTo(3);
        assertThat(table.give(BAKERY, 2, 2, 10_000).orElseThrow().tokens()).isEqualTo(2);
    }

    @Test
    void aLowerLimitTakesEffectAtOnce() {
        table.configure(List.of(policy(10, 100)), 0);
        table.validUntil(FOR_EVER);
        table.configure(List.of(policy(1, 0)), 20_000);

        assertThat(table.give(BAKERY, 50, 0, 20_000).orElseThrow().tokens()).isEqualTo(3);
    }

    /** Both buckets are asked for everything they have, over a window and the life of a token before it. */
    @ParameterizedTest
    @CsvSource({"0.3, 0.3, 6", "3, 3, 6", "3, 3, 11", "42, 42, 6", "42, 42, 3", "300, 300, 4", "2000, 100, 1", "3, 0, 2"
    })
    void theOwnersAndAllReservesTogetherStayWithinTheTolerance(double perSecond, double burst, int zones) {
        RateTolerance tolerance = new RateTolerance(0.1, 20, 5_000, zones);
        double owner = mostGiven(TokenTable.ofOwner(tolerance), perSecond, burst, 5_000 + tolerance.lifeMillis());
        double reserve = mostGiven(TokenTable.ofReserve(tolerance), perSecond, burst, 5_000 + tolerance.lifeMillis());
        double ofOwnersThatStart = 2 * RateClaim.PARTS * tolerance.startTokens();

        assertThat(RateClaim.PARTS * owner + zones * reserve + ofOwnersThatStart)
                .isLessThanOrEqualTo((perSecond * 5 + burst) * 1.1 + 20);
    }

    private static double mostGiven(TokenTable table, double perSecond, double burst, long window) {
        table.configure(List.of(policy(perSecond, burst)), 0);
        table.validUntil(FOR_EVER);
        int given = 0;
        for (long now = 1_000_000; now <= 1_000_000 + window; now++) {
            given += table.give(BAKERY, 1_000_000, 0, now).orElseThrow().tokens();
        }
        return given;
    }

    private static OrganisationPolicy policy(double perSecond, double burst) {
        return new OrganisationPolicy(BAKERY, Set.of("k"), OptionalInt.empty(), perSecond, burst);
    }
}
