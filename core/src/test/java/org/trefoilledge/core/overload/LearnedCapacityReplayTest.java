package org.trefoilledge.core.overload;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.function.IntToDoubleFunction;
import java.util.function.LongToDoubleFunction;
import java.util.function.UnaryOperator;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.trefoilledge.core.overload.UpstreamReplay.Load;
import org.trefoilledge.core.overload.UpstreamReplay.Result;
import org.trefoilledge.core.overload.UpstreamReplay.Slowdown;

/**
 * Replays load on upstreams that slow down before their slots are full, and on upstreams that become slow for other
 * reasons, with a learned limit and with the announced slots. Loads are fractions of the capacity without a knee.
 */
class LearnedCapacityReplayTest {
    private static final long END_MILLIS = 45_000;
    private static final long MEASURED_FROM_MILLIS = 10_000;
    /** Calls that arrive later may still run at the end. */
    private static final long MEASURED_UNTIL_MILLIS = 40_000;

    private static final double ROOT_MILLIS = 350;
    private static final double NESTED_MILLIS = 25;
    /** Mean of the service time over the nominal one: 3 in 100 calls take seven times as long. */
    private static final double RARE_CALLS = 1.18;

    private static LongToDoubleFunction rate(double load, int slots, double workMillis) {
        return now -> load * slots * 1_000 / workMillis / RARE_CALLS;
    }

    private static List<Load> rootOnly(double load, int slots) {
        return List.of(new Load("root", ROOT_MILLIS, rate(load, slots, ROOT_MILLIS)));
    }

    private static List<Load> mixed(double load, int slots) {
        return List.of(
                new Load("root", ROOT_MILLIS, rate(0.6 * load, slots, ROOT_MILLIS)),
                new Load("nested", NESTED_MILLIS, rate(0.4 * load, slots, NESTED_MILLIS)));
    }

    /** The share of the long calls changes between a tenth and nine tenths every 4 s. */
    private static List<Load> changingMix(double load, int slots) {
        LongToDoubleFunction rootShare = now -> now / 4_000 % 2 == 0 ? 0.9 : 0.1;
        LongToDoubleFunction roots = rate(load, slots, ROOT_MILLIS);
        LongToDoubleFunction nested = rate(load, slots, NESTED_MILLIS);
        return List.of(
                new Load("root", ROOT_MILLIS, now -> rootShare.applyAsDouble(now) * roots.applyAsDouble(now)),
                new Load(
                        "nested",
                        NESTED_MILLIS,
                        now -> (1 - rootShare.applyAsDouble(now)) * nested.applyAsDouble(now)));
    }

    private static IntToDoubleFunction mildKnee(int slots) {
        return running -> running > 0.95 * slots ? 1.3 : 1;
    }

    private static IntToDoubleFunction steepKnee(int slots, double knee) {
        return running -> running > knee * slots ? 3 : 1;
    }

    private record Comparison(UpstreamReplay learned, Result fixedResult, Result learnedResult) {
        double throughputRatio() {
            return learnedResult.workPerSecond() / fixedResult.workPerSecond();
        }

        double meanLimit() {
            double sum = 0;
            for (long at = MEASURED_FROM_MILLIS; at < END_MILLIS; at++) {
                sum += learned.limitAt(at);
            }
            return sum / (END_MILLIS - MEASURED_FROM_MILLIS);
        }
    }

    private static Comparison compare(
            long seed, int slots, List<Load> loads, UnaryOperator<UpstreamReplay> conditions) {
        UpstreamReplay fixed =
                conditions.apply(new UpstreamReplay(seed, false, slots, loads)).run(END_MILLIS);
        UpstreamReplay learned =
                conditions.apply(new UpstreamReplay(seed, true, slots, loads)).run(END_MILLIS);
        return new Comparison(
                learned,
                fixed.between(MEASURED_FROM_MILLIS, MEASURED_UNTIL_MILLIS),
                learned.between(MEASURED_FROM_MILLIS, MEASURED_UNTIL_MILLIS));
    }

    /** Guards against an upstream that stays above its knee at peak, where it serves a fifth less. */
    @ParameterizedTest
    @ValueSource(ints = {15, 16, 17, 18, 19, 20, 21, 22, 23})
    void mildKneeIsFoundDespiteSlowEpisodes(int slots) {
        Comparison result =
                compare(slots, slots, mixed(1.3, slots), replay -> replay.slowdown(Slowdown.AT_START, mildKnee(slots))
                        .slowEpisodes(0.15));

        assertThat(result.meanLimit()).isBetween(0.95 * slots - 2, slots - 0.5);
        assertThat(result.throughputRatio()).isGreaterThan(1.08);
        assertThat(result.learnedResult().p99Millis())
                .isLessThan(result.fixedResult().p99Millis());
    }

    /** Guards against a knee that is not seen because the load reaches it only by chance swings. */
    @ParameterizedTest
    @ValueSource(ints = {16, 20, 23})
    void mildKneeIsFoundBelowFullLoad(int slots) {
        Comparison result = compare(
                slots, slots, mixed(0.85, slots), replay -> replay.slowdown(Slowdown.AT_START, mildKnee(slots)));

        assertThat(result.meanLimit()).isBetween(0.95 * slots - 2, slots - 0.5);
        assertThat(result.throughputRatio()).isGreaterThan(1.05);
    }

    /** Guards against slow-downs that start at half of the slots, where the full upstream serves a third. */
    @ParameterizedTest
    @ValueSource(doubles = {0.5, 0.6, 0.7})
    void steepKneeIsFound(double knee) {
        Comparison result =
                compare(1, 20, mixed(1.3, 20), replay -> replay.slowdown(Slowdown.AT_START, steepKnee(20, knee))
                        .slowEpisodes(0.15));

        assertThat(result.meanLimit()).isLessThan(20 * knee + 2);
        assertThat(result.throughputRatio()).isGreaterThan(1.3);
    }

    @ParameterizedTest
    @ValueSource(doubles = {0.5, 0.6, 0.7})
    void steepKneeIsFoundIfCallsThatRunSlowDown(double knee) {
        Comparison result =
                compare(1, 20, mixed(1.3, 20), replay -> replay.slowdown(Slowdown.CONTINUOUS, steepKnee(20, knee)));

        assertThat(result.throughputRatio()).isGreaterThan(1.3);
    }

    /** Guards against trials and noise that cost the throughput of an upstream without a knee. */
    @ParameterizedTest
    @ValueSource(doubles = {0.85, 1.3})
    void upstreamWithoutAKneeKeepsItsSlots(double load) {
        double fixed = 0;
        double learned = 0;
        for (long seed = 1; seed <= 10; seed++) {
            Comparison result = compare(seed, 20, rootOnly(load, 20), replay -> replay.slowEpisodes(0.15));
            assertThat(result.meanLimit()).isGreaterThan(19);
            fixed += result.fixedResult().workPerSecond();
            learned += result.learnedResult().workPerSecond();
        }

        assertThat(learned / fixed).isGreaterThan(0.96);
    }

    /** Guards against limits that collapse when every upstream of a service is slow at once. */
    @ParameterizedTest
    @ValueSource(doubles = {2, 5})
    void limitDoesNotFallWhenTheUpstreamIsSlowForAnotherReason(double factor) {
        for (double load : new double[] {0.7, 1.2}) {
            Comparison result = compare(
                    3,
                    20,
                    rootOnly(load, 20),
                    replay -> replay.slowOverTime(now -> now > 15_000 && now < 30_000 ? factor : 1));

            assertThat(result.meanLimit()).isGreaterThan(19);
            assertThat(result.throughputRatio()).isGreaterThan(0.94);
        }
    }

    /** Guards against senders that learn of a slow upstream only when its slow calls end. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void serviceTimeFollowsAChangeOfSpeedWithinTwoSeconds(long seed) {
        UpstreamReplay replay = new UpstreamReplay(seed, true, 20, rootOnly(0.6, 20))
                .slowOverTime(now -> now > 15_000 && now < 25_000 ? 5 : 1);
        double before = replay.run(15_000).serviceTimeMillis("root");
        assertThat(replay.run(17_000).serviceTimeMillis("root")).isGreaterThan(2.5 * before);
        assertThat(replay.run(27_500).serviceTimeMillis("root")).isLessThan(2 * before);
    }

    /** Guards against a change of the mix of routes that looks like a change of speed. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void changeOfTheMixIsNoChangeOfSpeed(long seed) {
        for (double load : new double[] {0.9, 1.2}) {
            Comparison result = compare(seed, 20, changingMix(load, 20), replay -> replay);

            assertThat(result.meanLimit()).isGreaterThan(19);
            assertThat(result.throughputRatio()).isGreaterThan(0.93);
            assertThat(result.learned().serviceTimeMillis("root")).isBetween(250.0, 650.0);
            assertThat(result.learned().serviceTimeMillis("nested")).isBetween(18.0, 45.0);
        }
    }

    /** Guards against an upstream that looks fast because it rejects half of its calls at once. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void upstreamThatFailsAtOnceDoesNotLookFast(long seed) {
        Comparison result = compare(seed, 20, rootOnly(1.2, 20), replay -> replay.failing(now -> 0.55));

        assertThat(result.learned().serviceTimeMillis("root")).isGreaterThan(300);
        assertThat(result.meanLimit()).isGreaterThan(19);
    }

    /** Guards against calls that are cancelled before they end, which would hide long service times. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void callersThatGiveUpDoNotMakeTheUpstreamLookFast(long seed) {
        Comparison result = compare(seed, 20, rootOnly(1.5, 20), replay -> replay.deadline(800));

        assertThat(result.learned().serviceTimeMillis("root")).isGreaterThan(300);
        assertThat(result.meanLimit()).isGreaterThan(19);
    }

    /** Guards against a limit that is cut because the upstream becomes faster while it warms up. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void coldStartDoesNotLowerTheLimit(long seed) {
        Comparison result = compare(
                seed, 20, rootOnly(1.1, 20), replay -> replay.slowOverTime(now -> now < 5_000 ? 4 - 3 * now / 5e3 : 1));

        assertThat(result.meanLimit()).isGreaterThan(19);
        assertThat(result.throughputRatio()).isGreaterThan(0.94);
    }
}
