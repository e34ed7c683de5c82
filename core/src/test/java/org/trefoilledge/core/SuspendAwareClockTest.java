package org.trefoilledge.core;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class SuspendAwareClockTest {
    private long monotonicMillis = 100;
    private long wallClockMillis = 1_000_000;
    private final SuspendAwareClock clock = new SuspendAwareClock(() -> monotonicMillis, () -> wallClockMillis);

    @Test
    void includesSuspendedTime() {
        wallClockMillis += 8_000;

        assertThat(clock.millis()).isEqualTo(8_100);
    }

    @Test
    void clockRoundingDoesNotAccumulate() {
        for (int i = 0; i < 1_000; i++) {
            wallClockMillis++;
            clock.millis();
            monotonicMillis++;
            clock.millis();
        }

        assertThat(clock.millis()).isEqualTo(1_100);
    }

    @Test
    void keepsAdvancingWhenWallClockIsSetBack() {
        wallClockMillis -= 5_000;
        monotonicMillis += 250;

        assertThat(clock.millis()).isEqualTo(350);
        wallClockMillis += 250;
        monotonicMillis += 250;
        assertThat(clock.millis()).isEqualTo(600);
    }
}
