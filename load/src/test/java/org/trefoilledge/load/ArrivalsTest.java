package org.trefoilledge.load;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class ArrivalsTest {
    private static long count(Arrivals arrivals, double endSeconds) {
        long count = 0;
        while (arrivals.next() < endSeconds) {
            count++;
        }
        return count;
    }

    /** Guards against a schedule that drifts from the configured rate. */
    @Test
    void uniformArrivalsKeepTheRate() {
        Arrivals arrivals = new Arrivals(100, RateShape.FLAT, true, new SplittableRandom(1));
        assertThat(count(arrivals, 10)).isBetween(998L, 1000L);
    }

    /** Guards against a surge that starts late, because an interval drawn before the step is kept after it. */
    @Test
    void surgeMultipliesTheRateFromItsStepOn() {
        RateShape shape = new RateShape(List.of(new RateShape.Step(5, 10), new RateShape.Step(6, 1)));
        Arrivals arrivals = new Arrivals(1, shape, true, new SplittableRandom(1));
        assertThat(count(arrivals, 5.9999)).isBetween(13L, 15L);
    }

    /** Guards against an endless loop when nothing is sent any more. */
    @Test
    void multiplierZeroEndsTheArrivals() {
        RateShape shape = new RateShape(List.of(new RateShape.Step(1, 0)));
        Arrivals arrivals = new Arrivals(10, shape, true, new SplittableRandom(1));
        assertThat(count(arrivals, 1e9)).isBetween(9L, 10L);
    }

    /** Guards against runs that cannot be repeated. */
    @Test
    void sameSeedGivesTheSameTimes() {
        Arrivals first = new Arrivals(10, RateShape.FLAT, false, new SplittableRandom(7));
        Arrivals second = new Arrivals(10, RateShape.FLAT, false, new SplittableRandom(7));
        for (int i = 0; i < 100; i++) {
            assertThat(first.next()).isEqualTo(second.next());
        }
    }

    /** Guards against a wrong unit in the exponential intervals. */
    @Test
    void poissonArrivalsKeepTheMeanRate() {
        Arrivals arrivals = new Arrivals(1_000, RateShape.FLAT, false, new SplittableRandom(3));
        assertThat((double) count(arrivals, 20)).isCloseTo(20_000, within(500.0));
    }

    /** Guards against shapes whose later steps would never be reached. */
    @Test
    void stepsOutOfOrderAreRefused() {
        List<RateShape.Step> steps = List.of(new RateShape.Step(5, 2), new RateShape.Step(5, 3));
        assertThatThrownBy(() -> new RateShape(steps)).hasMessage("steps must have increasing times");
    }
}
