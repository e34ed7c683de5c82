package org.trefoilledge.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class StopPlanTest {
    private static final long START = 1_000;
    private static final long STOP_MILLIS = 6_000;

    private final StopPlan plan = new StopPlan(START, STOP_MILLIS);

    @Test
    void acceptsAllRequestsUntilCallersCanHaveNoticed() {
        assertThat(plan.accepts(START, 60_000)).isTrue();
        assertThat(plan.accepts(plan.noticeEndMillis() - 1, 60_000)).isTrue();
        assertThat(plan.accepts(plan.noticeEndMillis(), 60_000)).isFalse();
    }

    /** Guards against requests that are accepted although they may need more time than is left. */
    @Test
    void acceptsLaterRequestsOnlyIfTheirTimeLimitEndsBeforeTheProcess() {
        for (long received = plan.noticeEndMillis(); received < START + STOP_MILLIS; received += 100) {
            long left = plan.endMillis() - received;
            assertThat(plan.accepts(received, left)).isFalse();
            assertThat(plan.accepts(received, left / 2)).isEqualTo(left >= 300);
        }
        assertThat(plan.accepts(plan.noticeEndMillis(), Long.MAX_VALUE)).isFalse();
    }

    @Test
    void processEndsBeforeItIsKilledAndAfterTheLastSixthHasBegun() {
        for (long stopMillis : new long[] {1_000, 3_000, 6_000, 10_000, 30_000}) {
            StopPlan other = new StopPlan(0, stopMillis);
            assertThat(other.noticeEndMillis()).isLessThanOrEqualTo(3_000).isLessThan(stopMillis / 2);
            assertThat(other.closeMillis()).isBetween(other.noticeEndMillis(), other.endMillis());
            assertThat(other.endMillis()).isBetween(stopMillis * 5 / 6, stopMillis - 100);
        }
    }
}
