package org.trefoilledge.sidecar;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import org.junit.jupiter.api.Test;
import org.trefoilledge.core.RouteId;
import org.trefoilledge.core.ServiceId;
import org.trefoilledge.core.admission.NodeLoad;
import org.trefoilledge.core.admission.RequestClass;

class LoadMeterTest {
    private static final RequestClass REQUEST_CLASS = new RequestClass(new RouteId("r"), 1);
    private static final int SLOTS = 4;

    private long now = 1_000;
    private final LoadMeter meter = new LoadMeter(new ServiceId("s"), () -> now);

    /** Sends 100 requests per second until the average rate has settled. */
    private void replaySteadyLoad() {
        for (int interval = 0; interval < 20; interval++) {
            for (int request = 0; request < 50; request++) {
                meter.arrived(REQUEST_CLASS);
                now += 10;
            }
            meter.sample(SLOTS, 0);
        }
    }

    @Test
    void steadyArrivalsCauseNoPressure() {
        replaySteadyLoad();
        for (int request = 0; request < 50; request++) {
            meter.arrived(REQUEST_CLASS);
            now += 10;
            assertThat(meter.underPressure()).isFalse();
        }
    }

    @Test
    void surgeCausesPressureWithinTenRequestsUntilTheNextSample() {
        replaySteadyLoad();
        for (int request = 0; request < 10; request++) {
            meter.arrived(REQUEST_CLASS);
            now += 2;
        }
        assertThat(meter.underPressure()).isTrue();
        meter.sample(SLOTS, 0);
        assertThat(meter.underPressure()).isFalse();
    }

    @Test
    void pressureLastsAsLongAsACallWaits() {
        meter.recordPressure();
        assertThat(meter.underPressure()).isTrue();
        meter.sample(SLOTS, 20);
        assertThat(meter.underPressure()).isTrue();
        meter.sample(SLOTS, 0);
        assertThat(meter.underPressure()).isFalse();
    }

    /** Rejections that are reported late leave failing services without a plan while retries run out. */
    @Test
    void rejectionsCausePressureAndAreReportedWithinTwoIntervals() {
        LoadMeter measuring = new LoadMeter(new ServiceId("s"), () -> now, true);
        for (int interval = 0; interval < 2; interval++) {
            for (int call = 0; call < 100; call++) {
                measuring.answered(call % 2 == 0);
                measuring.retried(new ServiceId("s"), 3);
            }
            now += 250;
            assertThat(measuring.underPressure()).isTrue();
            NodeLoad load = measuring.sample(SLOTS, 0);
            assertThat(load.rejectedPerSecond() / load.offeredPerSecond()).isCloseTo(0.5, within(0.01));
        }
        NodeLoad load = measuring.sample(SLOTS, 0);

        assertThat(load.offeredPerSecond()).isGreaterThan(300);
        assertThat(load.retriesPerSecond().get(new ServiceId("s"))).isGreaterThan(900);
        assertThat(LoadMessages.toLoad(LoadMessages.toMessage(load)).retriesPerSecond())
                .containsKey(new ServiceId("s"));
    }

    /** A node with a healthy upstream receives plans with its reports, and must not report at the slow pace. */
    @Test
    void failedAttemptsCausePressureOnlyIfTheyAreManyAndATenth() {
        LoadMeter measuring = new LoadMeter(new ServiceId("s"), () -> now, true);
        for (int attempt = 0; attempt < 100; attempt++) {
            measuring.attempted(attempt % 20 == 0);
        }
        assertThat(measuring.underPressure()).isFalse();
        for (int attempt = 0; attempt < 10; attempt++) {
            measuring.attempted(true);
        }
        assertThat(measuring.underPressure()).isTrue();
    }

    @Test
    void rejectionsAreNotReportedWithoutTreeAdmission() {
        for (int call = 0; call < 100; call++) {
            meter.answered(true);
        }
        now += 250;

        assertThat(meter.underPressure()).isFalse();
        assertThat(meter.sample(SLOTS, 0).offeredPerSecond()).isEqualTo(0);
    }
}
