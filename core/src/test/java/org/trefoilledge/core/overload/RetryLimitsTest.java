package org.trefoilledge.core.overload;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;

class RetryLimitsTest {
    private static int grantedRetries(RetryThrottle throttle, long now) {
        int granted = 0;
        while (throttle.tryRetry(now)) {
            granted++;
        }
        return granted;
    }

    @Test
    void retriesAreBoundedByATenthOfTheRequestsPlusTheReserve() {
        RetryThrottle throttle = new RetryThrottle();
        for (int i = 0; i < 1_000; i++) {
            throttle.recordRequest(i);
        }
        assertThat(grantedRetries(throttle, 1_000)).isBetween(100, 110);
    }

    @Test
    void reserveAllowsRetriesWithoutRequests() {
        assertThat(grantedRetries(new RetryThrottle(), 0)).isEqualTo(10);
    }

    @Test
    void retriesOfExpiredWindowsAreNotAllowed() {
        RetryThrottle throttle = new RetryThrottle();
        for (int i = 0; i < 1_000; i++) {
            throttle.recordRequest(0);
        }
        assertThat(grantedRetries(throttle, 60_000)).isEqualTo(10);
    }

    @Test
    void childShareIsHalfOfTheBudgetRoundedDown() {
        assertThat(AttemptBudget.childShare(3)).isEqualTo(1);
    }

    @Test
    void childShareIsMovedAndNotCopied() {
        AttemptBudget budget = new AttemptBudget(3);
        int passed = budget.takeChildShare();
        assertThat(passed + budget.remaining()).isEqualTo(3);
    }

    @Test
    void unusedAttemptsAreReturned() {
        AttemptBudget budget = new AttemptBudget(4);
        budget.returnUnused(budget.takeChildShare());
        assertThat(budget.remaining()).isEqualTo(4);
    }

    @Test
    void spentBudgetAllowsNoAttempt() {
        AttemptBudget budget = new AttemptBudget(1);
        budget.tryAcquire();
        assertThat(budget.tryAcquire()).isFalse();
    }

    @Test
    void closedBudgetCannotBeUsedAgain() {
        AttemptBudget budget = new AttemptBudget(2);
        assertThat(budget.close()).isEqualTo(2);
        assertThat(budget.tryAcquire()).isFalse();
    }

    @Test
    void negativeBudgetIsRejected() {
        assertThatThrownBy(() -> new AttemptBudget(-1)).hasMessageContaining("must not be negative");
    }
}
