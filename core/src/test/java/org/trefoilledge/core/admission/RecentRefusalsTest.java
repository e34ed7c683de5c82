package org.trefoilledge.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.trefoilledge.core.RouteId;

/** Guards against repeated requests that take the place of those that can still be answered in time. */
class RecentRefusalsTest {
    private static final RequestClass ORDERS = new RequestClass(new RouteId("order"), 0);

    @Test
    void refusedRequestsAreRecognisedForFiveSeconds() {
        RecentRefusals refusals = new RecentRefusals();
        refusals.add("r1", 1_000);

        assertThat(refusals.contains("r1", 5_999)).isTrue();
        assertThat(refusals.contains("r2", 5_999)).isFalse();
        assertThat(refusals.contains("r1", 6_000)).isFalse();
    }

    @Test
    void memoryIsBoundedAndKeepsTheLatestRefusals() {
        RecentRefusals refusals = new RecentRefusals();
        for (int i = 0; i < 10_000; i++) {
            refusals.add("r" + i, 0);
        }

        assertThat(refusals.contains("r0", 0)).isFalse();
        assertThat(refusals.contains("r9999", 0)).isTrue();
    }

    @Test
    void requestsWithoutIdAreNotRecorded() {
        RecentRefusals refusals = new RecentRefusals();
        refusals.add("", 0);

        assertThat(refusals.contains("", 0)).isFalse();
    }

    @Test
    void firstRequestsPrecedeRepeatedOnesWithinTheAdmittedFraction() {
        AdmissionGate gate = new AdmissionGate();
        gate.plan(new AdmissionPlan(Map.of(ORDERS, 0.25)));
        int first = 0;
        int repeated = 0;
        for (int i = 0; i < 100; i++) {
            first += gate.admit(ORDERS, false) ? 1 : 0;
            repeated += gate.admit(ORDERS, true) ? 1 : 0;
        }

        assertThat(first).isGreaterThanOrEqualTo(45);
        assertThat(repeated).isLessThanOrEqualTo(5);
    }

    @Test
    void repeatedRequestsGetWhatFirstRequestsLeave() {
        AdmissionGate gate = new AdmissionGate();
        gate.plan(new AdmissionPlan(Map.of(ORDERS, 0.25)));
        int repeated = 0;
        for (int i = 0; i < 100; i++) {
            repeated += gate.admit(ORDERS, true) ? 1 : 0;
        }

        assertThat(repeated).isBetween(22, 25);
    }
}
