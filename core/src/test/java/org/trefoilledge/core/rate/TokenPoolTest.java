package org.trefoilledge.core.rate;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class TokenPoolTest {
    private static final long TOKEN_LIFETIME_MILLIS = 250;

    private final TokenPool pool = new TokenPool();

    @Test
    void tokenIsTakenOnce() {
        pool.add(1, 0, TOKEN_LIFETIME_MILLIS);

        assertThat(pool.take(10)).isPresent();
        assertThat(pool.take(10)).isEmpty();
    }

    @Test
    void tokenLifetimeStartsAtTheRequest() {
        pool.add(1, 0, TOKEN_LIFETIME_MILLIS);

        assertThat(pool.take(TOKEN_LIFETIME_MILLIS)).isEmpty();
    }

    @Test
    void returnedTokenKeepsItsExpiry() {
        pool.add(1, 0, TOKEN_LIFETIME_MILLIS);
        TokenPool.Token token = pool.take(200).orElseThrow();
        pool.putBack(token, 220);
        assertThat(pool.take(230)).contains(token);
        pool.putBack(token, TOKEN_LIFETIME_MILLIS);

        assertThat(pool.take(TOKEN_LIFETIME_MILLIS)).isEmpty();
    }

    @Test
    void lowDemandIsNotPrefetched() {
        recordDemand(2, 5_000);

        assertThat(pool.prefetchCount(TOKEN_LIFETIME_MILLIS, 5_000)).isZero();
    }

    @Test
    void highDemandIsPrefetchedForAPartOfTheTokenLifetime() {
        recordDemand(100, 5_000);

        assertThat(pool.prefetchCount(TOKEN_LIFETIME_MILLIS, 5_000)).isBetween(12, 16);
        pool.add(12, 5_000, TOKEN_LIFETIME_MILLIS);
        assertThat(pool.prefetchCount(TOKEN_LIFETIME_MILLIS, 5_000)).isLessThanOrEqualTo(4);
    }

    private void recordDemand(int perSecond, long until) {
        for (long now = 0; now < until; now += 1_000 / perSecond) {
            pool.recordDemand(now);
        }
    }
}
