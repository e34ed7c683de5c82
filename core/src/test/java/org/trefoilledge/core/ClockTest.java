package org.trefoilledge.core;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ClockTest {
    @Test
    void systemClockIsMonotonic() {
        Clock clock = Clock.system();
        long first = clock.millis();
        assertThat(clock.millis()).isGreaterThanOrEqualTo(first);
    }
}
