package org.trefoilledge.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ReportPaceTest {
    private final ReportPace pace = new ReportPace();

    @Test
    void calmNodeReportsAtEverySecondTick() {
        assertThat(dueAtTicks(6, false, false)).isEqualTo(3);
    }

    @Test
    void nodeUnderPressureReportsAtEveryTick() {
        assertThat(dueAtTicks(6, true, false)).isEqualTo(6);
    }

    @Test
    void nodeThatRefusesByThePlanReportsAtEveryTick() {
        assertThat(dueAtTicks(6, false, true)).isEqualTo(6);
    }

    @Test
    void pressureIsReportedAtTheNextTick() {
        pace.due(false, false);
        assertThat(pace.due(true, false)).isTrue();
    }

    private int dueAtTicks(int ticks, boolean pressing, boolean limiting) {
        int due = 0;
        for (int tick = 0; tick < ticks; tick++) {
            due += pace.due(pressing, limiting) ? 1 : 0;
        }
        return due;
    }
}
