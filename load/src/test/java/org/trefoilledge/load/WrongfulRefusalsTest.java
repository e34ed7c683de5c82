package org.trefoilledge.load;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.function.IntPredicate;
import org.junit.jupiter.api.Test;
import org.trefoilledge.core.ErrorKind;

class WrongfulRefusalsTest {
    private static final AttemptResult LIMITED = AttemptResult.refused(ErrorKind.RATE_LIMITED, 429, 0);

    private static List<Attempt> attempts(int count, double perSecond, IntPredicate refused) {
        List<Attempt> attempts = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            long sent = (long) (i / perSecond * 1e6);
            attempts.add(new Attempt(i, "a", 0, sent, sent, refused.test(i) ? LIMITED : AttemptResult.WHOLE));
        }
        return attempts;
    }

    @Test
    void refusalWithinRateAndBurstIsWrongful() {
        WrongfulRefusals refusals = WrongfulRefusals.of(attempts(1_000, 100, i -> i % 10 == 0), 100, 100, 0);
        assertThat(refusals).isEqualTo(new WrongfulRefusals(100, 1_000));
    }

    /** Guards against calling the refusals of a misbehaving organisation wrongful. */
    @Test
    void refusalsAboveTheRateAreNotWrongful() {
        WrongfulRefusals refusals = WrongfulRefusals.of(attempts(6_000, 600, i -> i >= 120 && i % 6 != 0), 100, 100, 0);
        assertThat(refusals.share()).isLessThan(0.02);
    }

    /** Guards against counting every refusal of a misbehaving organisation after the system wasted some tokens. */
    @Test
    void onlyTheWastedTokensOfAMisbehavingOrganisationAreWrongful() {
        WrongfulRefusals refusals = WrongfulRefusals.of(attempts(60_000, 600, i -> i % 12 != 0), 100, 100, 0);
        assertThat(refusals.wrongful()).isBetween(5_000L, 5_110L);
    }

    @Test
    void attemptsOfTheWarmUpAreReplayedButNotCounted() {
        WrongfulRefusals refusals = WrongfulRefusals.of(attempts(1_000, 100, i -> i % 10 == 0), 100, 100, 5);
        assertThat(refusals).isEqualTo(new WrongfulRefusals(50, 500));
    }

    @Test
    void organisationWithoutRateHasNoWrongfulRefusals() {
        assertThat(WrongfulRefusals.of(attempts(10, 1, i -> true), 0, 0, 0)).isEqualTo(WrongfulRefusals.NONE);
    }
}
