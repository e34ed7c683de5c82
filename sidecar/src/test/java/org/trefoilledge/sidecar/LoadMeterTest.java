package org.trefoilledge.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.trefoilledge.core.RouteId;
import org.trefoilledge.core.ServiceId;
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
}
