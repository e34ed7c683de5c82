package org.trefoilledge.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

class LoopDelayMeterTest {
    private final AtomicLong now = new AtomicLong(10_000);
    private final LoopDelayMeter meter = new LoopDelayMeter("traffic", now::get);

    @Test
    void reportsByHowMuchARunIsLate() {
        now.addAndGet(LoopDelayMeter.INTERVAL_MILLIS + 1_200);
        meter.run();
        assertThat(meter.lastDelayMillis()).isEqualTo(1_200);

        now.addAndGet(LoopDelayMeter.INTERVAL_MILLIS);
        meter.run();
        assertThat(meter.lastDelayMillis()).isZero();
    }
}
