package org.trefoilledge.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.trefoilledge.core.placement.UnevenUpstreamsReplay.Result;

/**
 * Replays load on upstreams with speeds from 0.5 to 1.6, placed by load and by expected time. Load is a fraction of the
 * capacity.
 */
class UnevenUpstreamsReplayTest {
    private static final long FROM_MILLIS = 4_000;
    private static final long UNTIL_MILLIS = 12_000;

    private static Result run(long seed, boolean expectedTime, double load) {
        return new UnevenUpstreamsReplay(seed, expectedTime, load, FROM_MILLIS, UNTIL_MILLIS).run();
    }

    /** Guards against calls that wait at slow upstreams while fast ones have room. */
    @ParameterizedTest
    @CsvSource({"0.4, 1", "0.7, 2", "0.85, 3", "0.95, 4"})
    void expectedTimeLowersMeanAndTailLatency(double load, long seed) {
        Result byLoad = run(seed, false, load);
        Result byTime = run(seed, true, load);

        assertThat(byTime.latencyRatio()).isLessThan(0.93 * byLoad.latencyRatio());
        assertThat(byTime.p99Millis()).isLessThan(byLoad.p99Millis());
        assertThat(byTime.unservedShare()).isLessThanOrEqualTo(byLoad.unservedShare());
    }

    @Test
    void overloadIsServedNoWorse() {
        Result byLoad = run(5, false, 1.1);
        Result byTime = run(5, true, 1.1);

        assertThat(byTime.unservedShare()).isLessThan(byLoad.unservedShare() + 0.01);
    }

    /** Guards against senders that see the same reports and all choose the same upstream. */
    @ParameterizedTest
    @CsvSource({"0.7, 1", "0.85, 2", "0.95, 3"})
    void sendersDoNotHerd(double load, long seed) {
        assertThat(run(seed, true, load).busiestLoad())
                .isLessThan(run(seed, false, load).busiestLoad() + 0.05);
    }

    /** Guards against a slow upstream whose recovery nobody notices, because it gets no calls. */
    @Test
    void slowUpstreamIsNotStarvedAndIsUsedAgain() {
        UnevenUpstreamsReplay slow =
                new UnevenUpstreamsReplay(1, true, 0.6, 6_000, 12_000).disturbedFactor(now -> now > 5_000 ? 5 : 1);
        assertThat(slow.run().fewestCalls()).isGreaterThan(0.08);
        UnevenUpstreamsReplay recovered = new UnevenUpstreamsReplay(1, true, 0.6, 13_000, 17_000)
                .disturbedFactor(now -> now > 3_000 && now < 8_000 ? 5 : 1);
        recovered.run();
        UnevenUpstreamsReplay undisturbed = new UnevenUpstreamsReplay(1, true, 0.6, 13_000, 17_000);
        undisturbed.run();
        assertThat((double) recovered.callsOf(0)).isGreaterThan(0.6 * undisturbed.callsOf(0));
    }

    @Test
    void upstreamThatBecomesSlowIsAvoided() {
        Result byLoad = new UnevenUpstreamsReplay(2, false, 0.6, 6_000, 12_000)
                .disturbedFactor(now -> now > 5_000 ? 5 : 1)
                .run();
        Result byTime = new UnevenUpstreamsReplay(2, true, 0.6, 6_000, 12_000)
                .disturbedFactor(now -> now > 5_000 ? 5 : 1)
                .run();

        assertThat(byTime.latencyRatio()).isLessThan(0.85 * byLoad.latencyRatio());
        assertThat(byTime.p99Millis()).isLessThan(byLoad.p99Millis());
    }

    /**
     * Guards against an upstream that looks fast because it fails half of its calls at once: it keeps no larger share of
     * its calls than with placement by load.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void fastUpstreamThatFailsAtOnceLosesCalls(long seed) {
        double byLoad = shareKeptWhileFailing(seed, false);
        double byTime = shareKeptWhileFailing(seed, true);

        assertThat(byTime).isLessThan(0.75).isLessThan(byLoad + 0.05);
    }

    private static double shareKeptWhileFailing(long seed, boolean expectedTime) {
        UnevenUpstreamsReplay healthy = new UnevenUpstreamsReplay(seed, expectedTime, 0.6, FROM_MILLIS, UNTIL_MILLIS);
        healthy.run();
        UnevenUpstreamsReplay failing = new UnevenUpstreamsReplay(seed, expectedTime, 0.6, FROM_MILLIS, UNTIL_MILLIS)
                .disturbed(UnevenUpstreamsReplay.FASTEST)
                .disturbedFailures(0.55);
        failing.run();
        return (double) failing.callsOf(UnevenUpstreamsReplay.FASTEST)
                / (double) healthy.callsOf(UnevenUpstreamsReplay.FASTEST);
    }

    /** Guards against a loaded zone that keeps its calls, and against zones that swap theirs. */
    @Test
    void callsLeaveOnlyALoadedZone() {
        Result uneven =
                new UnevenUpstreamsReplay(4, true, at -> 1.25, at -> 0.6, at -> 0.6, FROM_MILLIS, UNTIL_MILLIS).run();
        Result unevenByLoad =
                new UnevenUpstreamsReplay(4, false, at -> 1.25, at -> 0.6, at -> 0.6, FROM_MILLIS, UNTIL_MILLIS).run();

        assertThat(uneven.unservedShare()).isLessThan(0.001);
        assertThat(uneven.crossingShare()).isLessThan(unevenByLoad.crossingShare() + 0.02);
        assertThat(uneven.latencyRatio()).isLessThan(unevenByLoad.latencyRatio());
        assertThat(run(4, true, 0.7).crossingShare()).isLessThan(0.02);
    }
}
