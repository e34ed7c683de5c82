package org.trefoilledge.core.overload;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;

class RetryLimitsTest {
    private static int retries(RetryRatio ratio, long now) {
        int granted = 0;
        while (ratio.tryRetry(now)) {
            granted++;
        }
        return granted;
    }

    @Test
    void retriesStayWithinATenthOfTheRequestsPlusTheReserve() {
        RetryRatio ratio = new RetryRatio();
        for (int i = 0; i < 1_000; i++) {
            ratio.requestSent(i);
        }
        assertThat(retries(ratio, 1_000)).isBetween(100, 110);
    }

    @Test
    void quietServiceMayStillRetryAFew() {
        assertThat(retries(new RetryRatio(), 0)).isEqualTo(10);
    }

    @Test
    void retriesEarnedLongAgoAreForgotten() {
        RetryRatio ratio = new RetryRatio();
        for (int i = 0; i < 1_000; i++) {
            ratio.requestSent(0);
        }
        assertThat(retries(ratio, 60_000)).isEqualTo(10);
    }

    @Test
    void halfOfTheBudgetIsPassedOnRoundedDown() {
        assertThat(AttemptBudget.passedOn(3)).isEqualTo(1);
    }

    @Test
    void passingOnMovesTheBudgetInsteadOfCopyingIt() {
        AttemptBudget budget = new AttemptBudget(3);
        int passed = budget.passOn();
        assertThat(passed + budget.left()).isEqualTo(3);
    }

    @Test
    void unusedAttemptsComeBack() {
        AttemptBudget budget = new AttemptBudget(4);
        budget.giveBack(budget.passOn());
        assertThat(budget.left()).isEqualTo(4);
    }

    @Test
    void spentBudgetAllowsNoAttempt() {
        AttemptBudget budget = new AttemptBudget(1);
        budget.tryAttempt();
        assertThat(budget.tryAttempt()).isFalse();
    }

    @Test
    void closedBudgetCannotBeUsedAgain() {
        AttemptBudget budget = new AttemptBudget(2);
        assertThat(budget.close()).isEqualTo(2);
        assertThat(budget.tryAttempt()).isFalse();
    }

    @Test
    void negativeBudgetIsRejected() {
        assertThatThrownBy(() -> new AttemptBudget(-1)).hasMessageContaining("must not be negative");
    }
}
