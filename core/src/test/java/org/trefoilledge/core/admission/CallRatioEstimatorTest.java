package org.trefoilledge.core.admission;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.PriorityQueue;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.trefoilledge.core.RouteId;

class CallRatioEstimatorTest {
    private static final RouteId LIST = new RouteId("list");
    private static final RouteId STATUS = new RouteId("status");
    private static final RouteId LOOKUP = new RouteId("lookup");

    private record Event(long atMillis, Runnable action) {}

    @Test
    void upstreamWithoutCallsHasNoRatios() {
        CallRatioEstimator ratios = new CallRatioEstimator();
        ratios.recordStart(STATUS, 0);
        ratios.recordEnd(STATUS, 100);
        ratios.update(200);

        assertThat(ratios.callsPerExecution(STATUS)).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void attributesCallsToCallingRouteWithinThreeSeconds(long seed) {
        CallRatioEstimator ratios = new CallRatioEstimator();
        Random random = new Random(seed);
        PriorityQueue<Event> events = new PriorityQueue<>((a, b) -> Long.compare(a.atMillis(), b.atMillis()));
        // Per second, 80 lists of 75 ms with four lookups each, and 20 statuses of 150 ms without lookups.
        for (long at = 0; at < 3_000; at++) {
            long now = at;
            if (random.nextInt(1_000) < 80) {
                events.add(new Event(now, () -> ratios.recordStart(LIST, now)));
                for (int i = 0; i < 4; i++) {
                    long call = now + 12 + 15L * i;
                    events.add(new Event(call, () -> ratios.called(LOOKUP, call)));
                }
                events.add(new Event(now + 75, () -> ratios.recordEnd(LIST, now + 75)));
            }
            if (random.nextInt(1_000) < 20) {
                events.add(new Event(now, () -> ratios.recordStart(STATUS, now)));
                events.add(new Event(now + 150, () -> ratios.recordEnd(STATUS, now + 150)));
            }
        }
        while (!events.isEmpty()) {
            events.poll().action().run();
        }
        ratios.update(3_200);

        assertThat(ratios.callsPerExecution(LIST).get(LOOKUP)).isCloseTo(4, within(0.8));
        assertThat(ratios.callsPerExecution(STATUS).getOrDefault(LOOKUP, 0.0)).isLessThan(1.2);
    }
}
