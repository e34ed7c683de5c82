package org.trefoilledge.core.overload;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against retries beyond their bound in any window of 10 s. */
class SlidingRetryThrottleTest {
    private static int grantedRetries(SlidingRetryThrottle throttle, boolean nested, long now) {
        int granted = 0;
        while (throttle.tryRetry(1, nested, now)) {
            granted++;
        }
        return granted;
    }

    private static SlidingRetryThrottle afterRequests(int perSecond, long untilMillis) {
        SlidingRetryThrottle throttle = new SlidingRetryThrottle(0.1, 10);
        for (long now = 0; now < untilMillis; now += 1_000 / perSecond) {
            throttle.recordRequest(now);
        }
        return throttle;
    }

    @Test
    void halfOfTheBudgetIsGrantedInOneSecondAndTheRestLater() {
        SlidingRetryThrottle throttle = afterRequests(100, 20_000);

        assertThat(grantedRetries(throttle, true, 19_999)).isEqualTo(55);
        assertThat(grantedRetries(throttle, true, 21_100)).isBetween(50, 55);
        assertThat(grantedRetries(throttle, true, 22_200)).isEqualTo(0);
    }

    @Test
    void rootRequestsLeaveHalfOfTheBudgetToNestedCalls() {
        SlidingRetryThrottle throttle = afterRequests(100, 20_000);
        int root = grantedRetries(throttle, false, 19_999) + grantedRetries(throttle, false, 21_100);

        assertThat(root).isEqualTo(55);
        assertThat(grantedRetries(throttle, true, 21_100)).isBetween(50, 55);
    }

    @Test
    void requestsOfTheWindowBeforeAreTheBaseWhenFewerAreAdmitted() {
        SlidingRetryThrottle throttle = afterRequests(100, 20_000);

        assertThat(grantedRetries(throttle, true, 29_000)).isEqualTo(55);
    }

    @Test
    void retriesOfExpiredWindowsAreNotAllowed() {
        SlidingRetryThrottle throttle = afterRequests(100, 20_000);

        assertThat(grantedRetries(throttle, true, 60_000)).isEqualTo(5);
    }

    @Test
    void grantedRetriesCountForTenSeconds() {
        SlidingRetryThrottle throttle = new SlidingRetryThrottle(0, 8);
        int granted = grantedRetries(throttle, true, 0) + grantedRetries(throttle, true, 2_000);

        assertThat(granted).isEqualTo(8);
        assertThat(grantedRetries(throttle, true, 9_999)).isEqualTo(0);
        assertThat(grantedRetries(throttle, true, 10_500)).isEqualTo(4);
    }

    @Test
    void newLimitsKeepTheHistory() {
        RetryBudget throttle = afterRequests(100, 20_000).withLimits(0.2, 0);
        int granted = 0;
        while (throttle.tryRetry(1, true, 19_999)) {
            granted++;
        }

        assertThat(granted).isEqualTo(100);
    }

    @Test
    void retryOfACallTreeCostsSeveralRetries() {
        SlidingRetryThrottle throttle = new SlidingRetryThrottle(0, 8);

        assertThat(throttle.tryRetry(RetryCost.of(true), true, 0)).isTrue();
        assertThat(throttle.tryRetry(RetryCost.of(true), true, 0)).isFalse();
    }
}
