package org.trefoilledge.core.overload;

import static org.assertj.core.api.Assertions.assertThat;

import org.assertj.core.data.Percentage;
import org.junit.jupiter.api.Test;
import org.trefoilledge.core.RouteId;

class ServiceTimesTest {
    private static final RouteId ROUTE = new RouteId("route");

    private final ServiceTimes times = new ServiceTimes();

    /** Runs calls of 100 ms one after the other; returns the time after the last one. */
    private long runCalls(int count) {
        for (int i = 0; i < count; i++) {
            ServiceTimes.Route route = times.start(ROUTE, i * 100L);
            times.complete(route, 100, true, (i + 1) * 100L);
        }
        return count * 100L;
    }

    @Test
    void serviceTimeIsUnknownBeforeThreeCalls() {
        runCalls(2);
        assertThat(times.meanMillis(ROUTE, 200)).isZero();
    }

    @Test
    void serviceTimeIsTheMeanDuration() {
        long now = runCalls(50);
        assertThat(times.meanMillis(ROUTE, now)).isCloseTo(100, Percentage.withPercentage(10));
    }

    @Test
    void serviceTimeStaysWhileNoCallRuns() {
        long now = runCalls(50);
        double before = times.meanMillis(ROUTE, now);
        assertThat(times.meanMillis(ROUTE, now + 60_000)).isEqualTo(before);
    }

    @Test
    void runningCallRaisesTheServiceTimeWithItsAge() {
        long now = runCalls(50);
        times.start(ROUTE, now);
        assertThat(times.meanMillis(ROUTE, now + 1_000)).isGreaterThan(150);
    }

    /** Guards against a call that never ends and would make the service time grow without bound. */
    @Test
    void hangingCallRaisesTheServiceTimeUpToABound() {
        long now = runCalls(50);
        times.start(ROUTE, now);
        assertThat(times.meanMillis(ROUTE, now + 600_000)).isBetween(1_000.0, 2_001.0);
    }

    @Test
    void callsThatFailSoonerThanOthersCompleteDoNotCount() {
        long now = runCalls(50);
        for (int i = 0; i < 50; i++) {
            ServiceTimes.Route route = times.start(ROUTE, now);
            times.fail(route, 1, ++now);
        }
        assertThat(times.meanMillis(ROUTE, now)).isCloseTo(100, Percentage.withPercentage(15));
    }
}
