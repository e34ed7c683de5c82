package org.trefoilledge.core.admission;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import org.junit.jupiter.api.Test;
import org.trefoilledge.core.RouteId;

/** Guards against a node that admits trees which fail, or keeps refusing them once they succeed. */
class TreeOutcomeLimitTest {
    private static final RouteId ORDER = new RouteId("order");

    private final TreeOutcomeLimit limit = new TreeOutcomeLimit();
    private long now = 1_000;

    /** Ends a tree every 10 ms. */
    private void endTrees(int trees, double failedPart) {
        for (int i = 0; i < trees; i++) {
            limit.recordOutcome(ORDER, Math.floor((i + 1) * failedPart) > Math.floor(i * failedPart), now);
            now += 10;
        }
    }

    @Test
    void routesWithoutOutcomesAreAdmittedInFull() {
        assertThat(limit.admit(ORDER)).isTrue();
    }

    @Test
    void fractionIsHalvedEveryQuarterOfASecondDownToATenth() {
        endTrees(27, 1);
        assertThat(limit.admittedFraction(ORDER)).isEqualTo(0.5);
        endTrees(26, 1);
        assertThat(limit.admittedFraction(ORDER)).isEqualTo(0.25);
        endTrees(200, 1);
        assertThat(limit.admittedFraction(ORDER)).isEqualTo(0.1);
    }

    @Test
    void fewFailuresDoNotLimit() {
        limit.recordOutcome(ORDER, true, now);
        now += 1_000;
        for (int i = 0; i < 6; i++) {
            limit.recordOutcome(ORDER, true, now);
        }

        assertThat(limit.admittedFraction(ORDER)).isEqualTo(1);
    }

    @Test
    void lessThanHalfFailedDoesNotLimit() {
        endTrees(400, 0.45);

        assertThat(limit.admittedFraction(ORDER)).isEqualTo(1);
    }

    @Test
    void fractionGrowsByATenthEveryQuarterOfASecondOnceTreesSucceed() {
        endTrees(200, 1);
        endTrees(27, 0);
        assertThat(limit.admittedFraction(ORDER)).isCloseTo(0.2, within(0.101));
        endTrees(300, 0);
        assertThat(limit.admittedFraction(ORDER)).isEqualTo(1);
    }

    @Test
    void admitsTheFractionEvenly() {
        endTrees(27, 1);
        int admitted = 0;
        for (int i = 0; i < 100; i++) {
            admitted += limit.admit(ORDER) ? 1 : 0;
        }

        assertThat(admitted).isEqualTo(50);
    }

    @Test
    void reportsWhenALimitBeginsAndEnds() {
        int changes = 0;
        for (int i = 0; i < 600; i++) {
            changes += limit.recordOutcome(ORDER, i < 200, now) ? 1 : 0;
            now += 10;
        }

        assertThat(changes).isEqualTo(2);
        assertThat(limit.limitedRoutes()).isEqualTo(0);
    }
}
