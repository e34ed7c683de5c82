package org.trefoilledge.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Replays a service that rejects 55% of its calls, with and without the limit of call trees by retries. */
class FailingServiceReplayTest {
    private static final long FAIL_FROM_MILLIS = 20_000;
    private static final List<FailingServiceReplay.Load> SEATS = List.of(
            new FailingServiceReplay.Load("browse", 2, 584, 8, false, 2_400, 1_200, 0),
            new FailingServiceReplay.Load("reserve", 0, 305, 4, false, 3_000, 1_000, 0),
            new FailingServiceReplay.Load("orders", 0, 203, 0, false, 3_000, 1_000, 0),
            new FailingServiceReplay.Load("stock", 2, 140, 0, true, 2_400, 800, 0));

    private static FailingServiceReplay replay(
            boolean on, List<FailingServiceReplay.Load> loads, double rejection, long millis) {
        return FailingServiceReplay.run(new FailingServiceReplay.Scenario(
                on, loads, rejection, 23, 23, 20, FAIL_FROM_MILLIS, FAIL_FROM_MILLIS + millis, 36_000, 250, 1));
    }

    /** Without the limit, retries are spread over all trees and nearly none completes. */
    @Test
    void importantTreesCompleteWhileTheDeepestServiceFails() {
        FailingServiceReplay off = replay(false, SEATS, 0.55, 8_000);
        FailingServiceReplay on = replay(true, SEATS, 0.55, 8_000);

        assertThat(off.counts("reserve").completedShare()).isLessThan(0.15);
        assertThat(on.counts("reserve").completedShare()).isGreaterThan(0.4);
        assertThat(on.counts("browse").completedShare())
                .isGreaterThan(off.counts("browse").completedShare());
        assertThat(on.counts("orders").completedShare()).isGreaterThan(0.99);
        assertThat(on.counts("stock").completedShare()).isGreaterThan(0.9);
    }

    /** A budget that is spread too thinly would fail the trees of a failure that ends before the plan has adapted. */
    @Test
    void shortFailureIsServedFromTheBudget() {
        FailingServiceReplay on = replay(true, SEATS, 0.3, 1_000);

        assertThat(on.counts("reserve").completedShare()).isGreaterThan(0.99);
        assertThat(on.counts("browse").completedShare()).isGreaterThan(0.95);
    }

    /** A plan that stays in force after the failure would refuse requests that can be served. */
    @Test
    void allTreesCompleteOneSecondAfterTheFailure() {
        FailingServiceReplay on = replay(true, SEATS, 0.55, 8_000);

        on.classNames().forEach(name -> assertThat(on.counts(name).completedShareAfterFailure())
                .isGreaterThan(0.98));
    }

    /** More retries than the bound would load a failing service beyond what its operators allow. */
    @Test
    void retriesStayBelowTheirBound() {
        assertThat(replay(true, SEATS, 0.55, 8_000).highestRetryShare()).isLessThan(0.8);
    }

    /** Trees with one call to the failing service mostly succeed without retries; limiting them would refuse most. */
    @Test
    void treesWithOneCallToTheFailingServiceAreNotLimited() {
        List<FailingServiceReplay.Load> loads =
                List.of(new FailingServiceReplay.Load("list", 1, 600, 1, false, 2_400, 1_000, 0));

        assertThat(replay(true, loads, 0.55, 8_000).counts("list").completedShare())
                .isGreaterThan(replay(false, loads, 0.55, 8_000).counts("list").completedShare());
    }

    private static FailingServiceReplay replay(boolean on, int failing, int slots, long failFrom, double surge) {
        List<FailingServiceReplay.Load> loads = SEATS.stream()
                .map(load -> new FailingServiceReplay.Load(
                        load.name(),
                        load.rank(),
                        surge * load.perSecond(),
                        load.nestedCalls(),
                        load.rootIsDeep(),
                        load.deadlineMillis(),
                        load.targetMillis(),
                        load.fromMillis()))
                .toList();
        return FailingServiceReplay.run(new FailingServiceReplay.Scenario(
                on, loads, 0.55, failing, 23, slots, failFrom, failFrom + 8_000, failFrom + 16_000, 250, 1));
    }

    /** One zone's upstreams fail: a limit for the rate of that zone alone would refuse trees that others can serve. */
    @Test
    void moreTreesCompleteWhenTheUpstreamsOfOneZoneFail() {
        FailingServiceReplay off = replay(false, 8, 20, FAIL_FROM_MILLIS, 1);
        FailingServiceReplay on = replay(true, 8, 20, FAIL_FROM_MILLIS, 1);

        assertThat(on.counts("reserve").completedShare())
                .isGreaterThan(off.counts("reserve").completedShare());
        assertThat(on.counts("browse").completedShare())
                .isGreaterThan(off.counts("browse").completedShare());
    }

    /** Rejected calls hold slots briefly; costs learned from them would admit more trees than there are slots for. */
    @Test
    void importantTreesCompleteWhenTheFailingServiceIsShortOfSlots() {
        FailingServiceReplay off = replay(false, 23, 8, FAIL_FROM_MILLIS, 1);
        FailingServiceReplay on = replay(true, 23, 8, FAIL_FROM_MILLIS, 1);

        assertThat(on.counts("reserve").completedShare())
                .isGreaterThan(2 * off.counts("reserve").completedShare());
    }

    /** A surge and failures from the first second, when the plan knows no costs and the nodes have no budget yet. */
    @Test
    void moreTreesCompleteWhenAFleetWithoutKnownCostsFailsInASurge() {
        FailingServiceReplay off = replay(false, 23, 20, 0, 1.8);
        FailingServiceReplay on = replay(true, 23, 20, 0, 1.8);

        assertThat(on.counts("reserve").completedShare())
                .isGreaterThan(off.counts("reserve").completedShare());
        assertThat(on.counts("orders").completedShare()).isGreaterThan(0.99);
    }

    /** A surge alone, from the first second, must not be served worse than without the feature. */
    @Test
    void surgeWithoutFailuresIsServedAsBefore() {
        FailingServiceReplay off = replay(false, 0, 20, 0, 1.8);
        FailingServiceReplay on = replay(true, 0, 20, 0, 1.8);

        on.classNames().forEach(name -> assertThat(on.counts(name).completedShare())
                .isGreaterThan(off.counts(name).completedShare() - 0.02));
    }
}
