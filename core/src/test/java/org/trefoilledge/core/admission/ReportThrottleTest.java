package org.trefoilledge.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ReportThrottleTest {
    private final ReportThrottle throttle = new ReportThrottle();

    @Test
    void nodeWithoutPressureReportsAtEverySecondTick() {
        assertThat(countReports(6, false, false)).isEqualTo(3);
    }

    @Test
    void nodeUnderPressureReportsAtEveryTick() {
        assertThat(countReports(6, true, false)).isEqualTo(6);
    }

    @Test
    void nodeWhosePlanRefusesRequestsReportsAtEveryTick() {
        assertThat(countReports(6, false, true)).isEqualTo(6);
    }

    @Test
    void pressureIsReportedAtTheNextTick() {
        throttle.shouldReport(false, false);
        assertThat(throttle.shouldReport(true, false)).isTrue();
    }

    private int countReports(int ticks, boolean underPressure, boolean planRefuses) {
        int reports = 0;
        for (int tick = 0; tick < ticks; tick++) {
            reports += throttle.shouldReport(underPressure, planRefuses) ? 1 : 0;
        }
        return reports;
    }
}
