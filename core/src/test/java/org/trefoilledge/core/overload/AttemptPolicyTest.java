package org.trefoilledge.core.overload;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against executing a request more often than allowed, and against giving up calls that were not executed. */
class AttemptPolicyTest {
    private static final AttemptOutcome SUCCESS = new AttemptOutcome(false, false, false, true, false, false, false);
    private static final AttemptOutcome REJECTED = new AttemptOutcome(true, true, true, true, true, false, false);
    private static final AttemptOutcome DRAINING = new AttemptOutcome(true, true, true, false, false, false, false);
    private static final AttemptOutcome QUEUE_FULL = new AttemptOutcome(true, true, true, false, true, false, false);
    private static final AttemptOutcome LOST = new AttemptOutcome(true, true, false, true, false, false, false);
    private static final AttemptOutcome TREE_FAILED = new AttemptOutcome(true, false, false, true, false, false, true);

    private static int retries(AttemptPolicy policy, AttemptOutcome outcome) {
        int retries = 0;
        while (policy.next(outcome, 0) != AttemptPolicy.Next.COMPLETE) {
            retries++;
        }
        return retries;
    }

    private static AttemptPolicy policy(boolean idempotent, boolean rejectionsCount) {
        return new AttemptPolicy(2, idempotent, 1_000, rejectionsCount);
    }

    @Test
    void successCompletesARequest() {
        assertThat(policy(true, false).next(SUCCESS, 0)).isEqualTo(AttemptPolicy.Next.COMPLETE);
    }

    @Test
    void rejectedRequestsAreRetriedEightTimesWhetherIdempotentOrNot() {
        assertThat(retries(policy(true, false), REJECTED)).isEqualTo(8);
        assertThat(retries(policy(false, false), REJECTED)).isEqualTo(8);
    }

    @Test
    void rejectionsCountAsAttemptsWithoutTreeAdmission() {
        assertThat(retries(policy(true, true), REJECTED)).isEqualTo(1);
    }

    @Test
    void requestThatMayHaveRunIsRetriedOnlyIfIdempotentAndWithinMaxAttempts() {
        assertThat(retries(policy(true, false), LOST)).isEqualTo(1);
        assertThat(retries(policy(false, false), LOST)).isEqualTo(0);
    }

    @Test
    void rejectionAfterALostAttemptDoesNotAllowAnotherExecution() {
        AttemptPolicy policy = policy(true, false);

        assertThat(policy.next(LOST, 0)).isEqualTo(AttemptPolicy.Next.RETRY_WITHIN_BUDGET);
        assertThat(policy.next(REJECTED, 0)).isEqualTo(AttemptPolicy.Next.RETRY_WITHIN_BUDGET);
        assertThat(policy.next(LOST, 0)).isEqualTo(AttemptPolicy.Next.COMPLETE);
        assertThat(policy.mayHaveRun()).isTrue();
    }

    @Test
    void nonIdempotentRequestIsNotRetriedAfterALostAttemptAndARejection() {
        AttemptPolicy policy = policy(false, false);
        policy.next(REJECTED, 0);

        assertThat(policy.next(LOST, 0)).isEqualTo(AttemptPolicy.Next.COMPLETE);
    }

    @Test
    void refusalsBeforeAnUpstreamAreRetriedWithoutBudgetUpToALimit() {
        assertThat(policy(false, false).next(DRAINING, 0)).isEqualTo(AttemptPolicy.Next.RETRY);
        assertThat(retries(policy(false, false), DRAINING)).isEqualTo(4);
        assertThat(retries(policy(false, false), QUEUE_FULL)).isEqualTo(2);
    }

    @Test
    void failureOfAnExecutionThatMakesCallsIsNotRetried() {
        assertThat(policy(true, false).next(TREE_FAILED, 0)).isEqualTo(AttemptPolicy.Next.COMPLETE);
    }

    @Test
    void requestIsNotRetriedShortlyBeforeItsDeadline() {
        assertThat(policy(true, false).next(REJECTED, 991)).isEqualTo(AttemptPolicy.Next.COMPLETE);
    }

    @Test
    void abandonedAttemptCountsAsAnExecution() {
        AttemptPolicy policy = policy(true, false);

        assertThat(policy.mayAbandonAttempt(0)).isTrue();
        policy.abandonAttempt();
        assertThat(policy.mayAbandonAttempt(0)).isFalse();
        assertThat(policy.mayHaveRun()).isTrue();
    }
}
