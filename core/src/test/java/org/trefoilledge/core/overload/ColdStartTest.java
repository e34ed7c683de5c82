package org.trefoilledge.core.overload;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Replays the load of a fleet on an upstream that is cold, or may be. */
class ColdStartTest {
    private static final long INTERVAL_MILLIS = 1_500;
    private static final double PER_SECOND = 3.78;
    private static final double BOUND = PER_SECOND * 1.5 + 8;
    private static final long COLD_MILLIS = 6_000;
    private static final ColdRate RATE = ColdRate.within(PER_SECOND, BOUND, COLD_MILLIS);
    private static final OptionalLong WARM = OptionalLong.of(0);
    private static final long FIRST_RUN = 100;
    private static final long NEXT_RUN = 200;

    private final ColdStart coldStart = new ColdStart(RATE, INTERVAL_MILLIS, 0);

    /** Guards against bursts that break the bound, alone or together with requests that arrive late. */
    @ParameterizedTest
    @CsvSource({"3.78, 1.5, 8", "1, 1, 2", "20, 1.2, 0", "0.3, 2, 1", "50, 1, 40", "2, 1, 0"})
    void boundHoldsInAnySecondUnderBurstsAndJitter(double perSecond, double over, double slack) {
        double bound = perSecond * over + slack;
        SplittableRandom random = new SplittableRandom(7);
        ColdStart limited = new ColdStart(ColdRate.within(perSecond, bound, COLD_MILLIS), INTERVAL_MILLIS, 0);
        List<Long> arrivals = new ArrayList<>();
        for (long now = 0; now < 60_000; now += random.nextInt(1, 400)) {
            int offered = random.nextInt(40);
            for (int i = 0; i < offered; i++) {
                if (limited.tryStart(now)) {
                    arrivals.add(now + random.nextLong(ColdRate.JITTER_MILLIS + 1));
                }
            }
        }

        assertThat(mostInOneSecond(arrivals)).isLessThan(bound);
        assertThat(arrivals).isNotEmpty();
    }

    /** Guards against a limiter that leaves most of what a cold upstream handles unused. */
    @Test
    void coldUpstreamGetsItsRate() {
        int started = 0;
        for (long now = 0; now < 60_000; now += 20) {
            started += coldStart.tryStart(now) ? 1 : 0;
        }

        assertThat(started).isBetween((int) (PER_SECOND * 57), (int) (PER_SECOND * 60) + 2);
    }

    /** Guards against a restart of the sidecar that grants its upstream a second allowance. */
    @Test
    void boundHoldsAcrossRestartsOfTheSidecar() {
        List<Long> starts = new ArrayList<>();
        SplittableRandom random = new SplittableRandom(3);
        long now = 0;
        for (int run = 0; run < 50; run++) {
            ColdStart next = new ColdStart(RATE, INTERVAL_MILLIS, now);
            long end = now + random.nextInt(1, 1_500);
            for (; now < end; now += 7) {
                if (next.tryStart(now)) {
                    starts.add(now);
                }
            }
        }

        assertThat(mostInOneSecond(starts)).isLessThan(BOUND);
    }

    /** Guards against full traffic to an upstream that was restarted between two announcements. */
    @Test
    void boundHoldsWhenTheUpstreamRestartsBetweenAnnouncements() {
        coldStart.announce(FIRST_RUN, WARM, 0);
        List<Long> toNextRun = new ArrayList<>();
        for (long now = 0; now < 3_000; now += 5) {
            if (now == 200) {
                coldStart.suspect(now);
            }
            if (now == 1_500) {
                coldStart.announce(NEXT_RUN, OptionalLong.of(5_000), now);
            }
            if (coldStart.tryStart(now) && now >= 200) {
                toNextRun.add(now);
            }
        }

        assertThat(mostInOneSecond(toNextRun)).isLessThan(BOUND);
        assertThat(toNextRun).isNotEmpty();
    }

    @Test
    void warmUpstreamIsNotLimited() {
        coldStart.announce(FIRST_RUN, WARM, 100);

        for (int i = 0; i < 1_000; i++) {
            assertThat(coldStart.tryStart(200)).isTrue();
        }
    }

    /** Guards against requests of the last second that count as unused once the upstream says that it is cold. */
    @Test
    void nothingIsSentRightAfterAWarmUpstreamAnnouncesThatItIsCold() {
        coldStart.announce(FIRST_RUN, WARM, 10_000);
        coldStart.announce(FIRST_RUN, OptionalLong.of(4_000), 11_500);

        assertThat(coldStart.tryStart(11_500)).isFalse();
        assertThat(coldStart.waitMillis(1, 11_500)).isBetween(1L, 1_000L);
        assertThat(coldStart.mayBeCold(15_499)).isTrue();
    }

    @Test
    void upstreamMayBeColdUntilItIsAnnounced() {
        assertThat(coldStart.mayBeCold(0)).isTrue();
        assertThat(coldStart.tryStart(0)).isFalse();
        coldStart.announce(FIRST_RUN, WARM, 5);

        assertThat(coldStart.mayBeCold(5)).isFalse();
    }

    @Test
    void coldTimeEndsAsAnnounced() {
        coldStart.announce(FIRST_RUN, OptionalLong.of(2_000), 0);

        assertThat(coldStart.isKnownCold(1_999)).isTrue();
        assertThat(coldStart.mayBeCold(2_000)).isFalse();
    }

    /** Guards against a report that says warm, was sent by the earlier process and arrives after the restart. */
    @Test
    void announcementSentBeforeTheEventDoesNotEndTheSuspicion() {
        coldStart.announce(FIRST_RUN, WARM, 0);
        coldStart.suspect(1_400);
        coldStart.announce(FIRST_RUN, WARM, 1_500);

        assertThat(coldStart.mayBeCold(1_500)).isTrue();
        coldStart.announce(FIRST_RUN, WARM, 3_000);
        assertThat(coldStart.mayBeCold(3_000)).isFalse();
    }

    @Test
    void announcementOfANewRunIsAcceptedAtOnce() {
        coldStart.announce(FIRST_RUN, WARM, 0);
        coldStart.suspect(1_400);
        coldStart.announce(NEXT_RUN, WARM, 1_500);

        assertThat(coldStart.mayBeCold(1_500)).isFalse();
    }

    /** Guards against a late report of the earlier process that undoes what a probe has found. */
    @Test
    void lateAnnouncementDoesNotUndoAProbeThatFoundTheUpstreamCold() {
        coldStart.announce(FIRST_RUN, WARM, 0);
        coldStart.suspect(1_000);
        coldStart.recordProbe(1_010, 5_000, 1_020);
        coldStart.announce(FIRST_RUN, WARM, 1_500);

        assertThat(coldStart.mayBeCold(6_019)).isTrue();
        assertThat(coldStart.mayBeCold(1_500)).isTrue();
    }

    @Test
    void probeEndsTheSuspicionUnlessAnEventFollowedIt() {
        coldStart.announce(FIRST_RUN, WARM, 0);
        coldStart.suspect(1_000);
        coldStart.recordProbe(999, 0, 1_001);
        assertThat(coldStart.mayBeCold(1_001)).isTrue();
        coldStart.recordProbe(1_001, 0, 1_003);

        assertThat(coldStart.mayBeCold(1_003)).isFalse();
    }

    @Test
    void upstreamMayBeColdWhileAnAnnouncementIsMissing() {
        coldStart.announce(FIRST_RUN, WARM, 0);
        assertThat(coldStart.mayBeCold(2 * INTERVAL_MILLIS - 1)).isTrue();
        assertThat(coldStart.mayBeCold(INTERVAL_MILLIS + 500)).isFalse();
        coldStart.announce(FIRST_RUN, WARM, 2 * INTERVAL_MILLIS);

        assertThat(coldStart.mayBeCold(2 * INTERVAL_MILLIS)).isFalse();
    }

    /** Guards against platforms whose announcements do not state the remaining time. */
    @Test
    void runWithoutAStatementIsColdForTheConfiguredTime() {
        coldStart.announce(FIRST_RUN, OptionalLong.empty(), 1_000);
        coldStart.announce(FIRST_RUN, OptionalLong.empty(), 1_000 + COLD_MILLIS - 1);
        assertThat(coldStart.mayBeCold(1_000 + COLD_MILLIS - 1)).isTrue();
        coldStart.announce(FIRST_RUN, OptionalLong.empty(), 1_000 + COLD_MILLIS);

        assertThat(coldStart.mayBeCold(1_000 + COLD_MILLIS)).isFalse();
    }

    @ParameterizedTest
    @ValueSource(doubles = {0, 0.5, 1})
    void boundOfLessThanOneRequestAdmitsNone(double bound) {
        ColdStart limited = new ColdStart(ColdRate.within(PER_SECOND, bound, COLD_MILLIS), INTERVAL_MILLIS, 0);

        assertThat(limited.tryStart(60_000)).isFalse();
        assertThat(limited.waitMillis(1, 60_000)).isEqualTo(Long.MAX_VALUE);
    }

    private static double mostInOneSecond(List<Long> times) {
        List<Long> sorted = times.stream().sorted().toList();
        int most = 0;
        int first = 0;
        for (int last = 0; last < sorted.size(); last++) {
            while (sorted.get(last) - sorted.get(first) >= 1_000) {
                first++;
            }
            most = Math.max(most, last - first + 1);
        }
        return most;
    }
}
