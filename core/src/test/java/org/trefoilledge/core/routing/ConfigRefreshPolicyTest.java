package org.trefoilledge.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ConfigRefreshPolicyTest {
    private static final long BOUND_MILLIS = 2_000;
    private static final long REPORT_INTERVAL_MILLIS = 500;

    private final ConfigRefreshPolicy policy = new ConfigRefreshPolicy(BOUND_MILLIS, new SplittableRandom(7));

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void unansweredReadIsRepeatedWithinTheBound(boolean collecting) {
        int reads = 0;
        for (long now = 0; now < BOUND_MILLIS; now++) {
            if (policy.millisUntilRead(now, collecting, now) == 0) {
                policy.recordRead(now);
                reads++;
            }
        }

        assertThat(reads).isBetween(2, 4);
    }

    @Test
    void nodeSeldomReadsWhileItsCollectorAnswers() {
        ConfigRefreshPolicy collector = new ConfigRefreshPolicy(BOUND_MILLIS, new SplittableRandom(8));
        long collectorReadMillis = 0;
        long confirmedMillis = 0;
        int reads = 0;
        for (long now = 0; now < 60_000; now++) {
            if (collector.millisUntilRead(now - collectorReadMillis, true, now) == 0) {
                collector.recordRead(now);
                collectorReadMillis = now;
            }
            if (now % REPORT_INTERVAL_MILLIS == 0) {
                confirmedMillis = Math.max(confirmedMillis, collectorReadMillis);
            }
            if (policy.millisUntilRead(now - confirmedMillis, false, now) == 0) {
                policy.recordRead(now);
                confirmedMillis = now;
                reads++;
            }
        }

        assertThat(reads).isLessThanOrEqualTo(3);
    }

    @Test
    void failedReadIsNotRepeatedAtOnce() {
        policy.recordRead(5_000);

        assertThat(policy.millisUntilRead(60_000, true, 5_000)).isEqualTo(400);
        assertThat(policy.millisUntilRead(60_000, true, 5_400)).isZero();
    }
}
