package org.trefoilledge.load;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class RecoveryTimeTest {
    private static void add(List<Double> times, double from, double to, double perSecond) {
        for (double t = from; t < to - 1e-9; t += 1 / perSecond) {
            times.add(t);
        }
    }

    private static RecoveryTime recovery(List<Double> times) {
        return RecoveryTime.of(times, 0, 10, 20, 40);
    }

    @Test
    void recoveryEndsWhenGoodputIsBack() {
        List<Double> times = new ArrayList<>();
        add(times, 0, 10, 100);
        add(times, 23, 40, 100);
        RecoveryTime recovery = recovery(times);
        assertThat(recovery.goodputBefore()).isEqualTo(100);
        // The window of two seconds holds 95% of the goodput when it starts 0.1 s before the return.
        assertThat(recovery.seconds().getAsDouble()).isEqualTo(2.9);
    }

    /** Guards against reporting a metastable failure as a recovery. */
    @Test
    void goodputThatStaysLowIsNoRecovery() {
        List<Double> times = new ArrayList<>();
        add(times, 0, 10, 100);
        add(times, 20, 40, 90);
        assertThat(recovery(times).seconds()).isEmpty();
        assertThat(recovery(times).text()).isEqualTo("never");
    }

    /** Guards against a short peak of delayed answers that counts as recovery before a collapse. */
    @Test
    void peakBeforeACollapseIsNoRecovery() {
        List<Double> times = new ArrayList<>();
        add(times, 0, 10, 100);
        add(times, 20, 23, 100);
        add(times, 23, 40, 10);
        assertThat(recovery(times).seconds()).isEmpty();
    }

    @Test
    void goodputThatNeverFellRecoversAtOnce() {
        List<Double> times = new ArrayList<>();
        add(times, 0, 40, 100);
        assertThat(recovery(times).seconds().getAsDouble()).isZero();
    }
}
