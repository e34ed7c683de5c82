package org.trefoilledge.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.trefoilledge.core.OrganisationId;
import org.trefoilledge.core.rate.TokenGrant;
import org.trefoilledge.core.rate.TokenPool;

class RateLimitsTest {
    private static final OrganisationId BAKERY = new OrganisationId("bakery");
    private static final long TOKEN_LIFE_MILLIS = 250;

    private long now = 1_000;
    private final List<Integer> neededCounts = new ArrayList<>();
    private final List<CompletableFuture<Optional<TokenGrant>>> answers = new ArrayList<>();
    private final List<RateLimits.Verdict> verdicts = new ArrayList<>();
    private final List<TokenPool.Token> tokens = new ArrayList<>();
    private final RateLimits limits = new RateLimits(() -> now, TOKEN_LIFE_MILLIS, (organisation, count, ahead) -> {
        CompletableFuture<Optional<TokenGrant>> answer = new CompletableFuture<>();
        neededCounts.add(count);
        answers.add(answer);
        return answer;
    });

    @Test
    void requestWaitsForItsToken() {
        acquire();
        assertThat(verdicts).isEmpty();
        grant(0, 1);

        assertThat(verdicts).containsExactly(RateLimits.Verdict.GRANTED);
    }

    @Test
    void requestsThatArriveWhileOneIsPendingShareTheNextTokenRequest() {
        acquire();
        acquire();
        acquire();
        grant(0, 1);

        assertThat(neededCounts).containsExactly(1, 2);
        grant(1, 2);
        assertThat(verdicts).hasSize(3).containsOnly(RateLimits.Verdict.GRANTED);
    }

    @Test
    void requestsBeyondTheGrantedTokensAreRefused() {
        acquire();
        acquire();
        grant(0, 1);
        answers.get(1).complete(Optional.of(new TokenGrant(0, 200)));

        assertThat(verdicts).containsExactly(RateLimits.Verdict.GRANTED, RateLimits.Verdict.OVER_LIMIT);
    }

    @Test
    void refusalIsCachedForAShortTime() {
        acquire();
        answers.get(0).complete(Optional.of(new TokenGrant(0, 200)));
        acquire();
        assertThat(verdicts).containsExactly(RateLimits.Verdict.OVER_LIMIT, RateLimits.Verdict.OVER_LIMIT);
        assertThat(answers).hasSize(1);
        now += 60;
        acquire();

        assertThat(answers).hasSize(2);
    }

    @Test
    void requestsAreRefusedWithNoOwnerWhenTheSourceHasNoAnswer() {
        acquire();
        answers.get(0).complete(Optional.empty());

        assertThat(verdicts).containsExactly(RateLimits.Verdict.NO_OWNER);
    }

    @Test
    void cachedRefusalKeepsItsVerdict() {
        acquire();
        answers.get(0).complete(Optional.empty());
        acquire();

        assertThat(verdicts).containsExactly(RateLimits.Verdict.NO_OWNER, RateLimits.Verdict.NO_OWNER);
        assertThat(answers).hasSize(1);
    }

    @Test
    void failedTokenRequestCountsAsNoOwner() {
        acquire();
        answers.get(0).completeExceptionally(new IllegalStateException("broken"));

        assertThat(verdicts).containsExactly(RateLimits.Verdict.NO_OWNER);
    }

    @Test
    void returnedTokenServesTheNextRequest() {
        acquire();
        grant(0, 1);
        limits.returnToken(BAKERY, tokens.get(0));
        acquire();

        assertThat(verdicts).containsExactly(RateLimits.Verdict.GRANTED, RateLimits.Verdict.GRANTED);
        assertThat(answers).hasSize(1);
    }

    @Test
    void tokenHeldDuringASuspensionHasExpired() {
        acquire();
        grant(0, 1);
        limits.returnToken(BAKERY, tokens.get(0));
        now += 5_000;
        acquire();

        assertThat(answers).hasSize(2);
    }

    @Test
    void answerAfterTheLifeOfItsTokensGrantsNothing() {
        acquire();
        now += TOKEN_LIFE_MILLIS;
        grant(0, 1);

        assertThat(verdicts).containsExactly(RateLimits.Verdict.OVER_LIMIT);
    }

    @Test
    void nodeWithManyRequestsSendsFewTokenRequests() {
        for (int i = 0; i < 1_000; i++) {
            int before = answers.size();
            acquire();
            if (answers.size() > before) {
                int ahead = 20;
                grant(before, neededCounts.get(before) + ahead);
            }
            now += 10;
        }

        assertThat(verdicts).hasSize(1_000).containsOnly(RateLimits.Verdict.GRANTED);
        assertThat(answers).hasSizeLessThan(200);
    }

    private void acquire() {
        limits.acquire(BAKERY, decision -> {
            verdicts.add(decision.verdict());
            decision.token().ifPresent(tokens::add);
        });
    }

    private void grant(int index, int count) {
        answers.get(index).complete(Optional.of(new TokenGrant(count, 0)));
    }
}
