package org.trefoilledge.core.rate;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class TokenStockTest {
    private static final long LIFE_MILLIS = 250;

    private final TokenStock stock = new TokenStock();

    @Test
    void aTokenIsTakenOnce() {
        stock.add(1, 0, LIFE_MILLIS);

        assertThat(stock.take(10)).isPresent();
        assertThat(stock.take(10)).isEmpty();
    }

    @Test
    void aTokenLapsesAtItsTimeCountedFromTheQuestion() {
        stock.add(1, 0, LIFE_MILLIS);

        assertThat(stock.take(LIFE_MILLIS)).isEmpty();
    }

    @Test
    void aTokenThatIsPutBackKeepsItsTime() {
        stock.add(1, 0, LIFE_MILLIS);
        TokenStock.Token token = stock.take(200).orElseThrow();
        stock.putBack(token, 220);
        assertThat(stock.take(230)).contains(token);
        stock.putBack(token, LIFE_MILLIS);

        assertThat(stock.take(LIFE_MILLIS)).isEmpty();
    }

    @Test
    void aNodeWithFewRequestsHoldsNothingAhead() {
        demand(2, 5_000);

        assertThat(stock.ahead(LIFE_MILLIS, 5_000)).isZero();
    }

    @Test
    void aNodeWithManyRequestsHoldsWhatItWillNeedInAPartOfATokensLife() {
        demand(100, 5_000);

        assertThat(stock.ahead(LIFE_MILLIS, 5_000)).isBetween(12, 16);
        stock.add(12, 5_000, LIFE_MILLIS);
        assertThat(stock.ahead(LIFE_MILLIS, 5_000)).isLessThanOrEqualTo(4);
    }

    private void demand(int perSecond, long until) {
        for (long now = 0; now < until; now += 1_000 / perSecond) {
            stock.demanded(now);
        }
    }
}
