package org.trefoilledge.core.share;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import org.junit.jupiter.api.Test;

class RateBucketTest {
    @Test
    void itStartsEmptyAndFillsAtItsRate() {
        RateBucket bucket = new RateBucket(0);
        bucket.configure(10, 5, 0);

        assertThat(bucket.tryTake(0)).isFalse();
        assertThat(bucket.millisUntilToken(1_000)).isEqualTo(100);
        assertThat(bucket.tryTake(100)).isTrue();
    }

    @Test
    void itNeverHoldsMoreThanItsDepth() {
        RateBucket bucket = new RateBucket(0);
        bucket.configure(10, 3, 0);

        assertThat(bucket.tokens(60_000)).isCloseTo(3, within(1e-9));
    }

    @Test
    void aSmallerPartTakesEffectAtOnce() {
        RateBucket bucket = new RateBucket(0);
        bucket.configure(10, 10, 0);
        bucket.tokens(10_000);
        bucket.configure(1, 1, 10_000);

        assertThat(bucket.tokens(10_000)).isCloseTo(1, within(1e-9));
    }

    @Test
    void tokensThatAreGivenAwayAreMissingHereAndUsableThere() {
        RateBucket giver = new RateBucket(0);
        giver.configure(10, 10, 0);
        RateBucket taker = new RateBucket(0);
        taker.configure(1, 1, 0);

        double given = giver.giveAway(3, 1_000);
        taker.receive(given, 1_000);

        assertThat(giver.tokens(1_000) + taker.tokens(1_000)).isCloseTo(10 + 1, within(1e-9));
        assertThat(taker.tryTake(1_000)).isTrue();
    }

    @Test
    void aNodeKeepsHalfOfItsTokens() {
        RateBucket bucket = new RateBucket(0);
        bucket.configure(10, 10, 0);

        assertThat(bucket.giveAway(100, 1_000)).isCloseTo(5, within(1e-9));
    }

    @Test
    void theTokenOfARequestThatDidNotRunIsUsableAgain() {
        RateBucket bucket = new RateBucket(0);
        bucket.configure(1, 1, 0);
        assertThat(bucket.tryTake(1_000)).isTrue();
        bucket.giveBack();

        assertThat(bucket.tryTake(1_000)).isTrue();
    }
}
