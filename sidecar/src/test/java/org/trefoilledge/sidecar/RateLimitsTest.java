package org.trefoilledge.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.trefoilledge.core.OrganisationId;
import org.trefoilledge.core.rate.TokenGrant;
import org.trefoilledge.core.rate.TokenStock;

class RateLimitsTest {
    private static final OrganisationId BAKERY = new OrganisationId("bakery");
    private static final long LIFE_MILLIS = 250;

    private long now = 1_000;
    private final List<Integer> needed = new ArrayList<>();
    private final List<CompletableFuture<Optional<TokenGrant>>> asked = new ArrayList<>();
    private final List<RateLimits.Verdict> verdicts = new ArrayList<>();
    private final List<TokenStock.Token> tokens = new ArrayList<>();
    private final RateLimits limits = new RateLimits(() -> now, LIFE_MILLIS, (organisation, count, ahead) -> {
        CompletableFuture<Optional<TokenGrant>> answer = new CompletableFuture<>();
        needed.add(count);
        asked.add(answer);
        return answer;
    });

    @Test
    void aRequestWaitsForItsToken() {
        take();
        assertThat(verdicts).isEmpty();
        give(0, 1);

        assertThat(verdicts).containsExactly(RateLimits.Verdict.GRANTED);
    }

    @Test
    void requestsThatComeMeanwhileAreAskedForTogether() {
        take();
        take();
        take();
        give(0, 1);

        assertThat(needed).containsExactly(1, 2);
        give(1, 2);
        assertThat(verdicts).hasSize(3).containsOnly(RateLimits.Verdict.GRANTED);
    }

    @Test
    void requestsBeyondWhatIsGivenAreRefusedAndToldWhenToComeBack() {
        take();
        take();
        give(0, 1);
        asked.get(1).complete(Optional.of(new TokenGrant(0, 200)));

        assertThat(verdicts).containsExactly(RateLimits.Verdict.GRANTED, RateLimits.Verdict.OVER_LIMIT);
    }

    @Test
    void nobodyIsAskedForAMomentAfterARefusal() {
        take();
        asked.get(0).complete(Optional.of(new TokenGrant(0, 200)));
        take();
        assertThat(verdicts).containsExactly(RateLimits.Verdict.OVER_LIMIT, RateLimits.Verdict.OVER_LIMIT);
        assertThat(asked).hasSize(1);
        now += 60;
        take();

        assertThat(asked).hasSize(2);
    }

    @Test
    void requestsAreRefusedAsNotRunWhenNobodyCanBeAsked() {
        take();
        asked.get(0).complete(Optional.empty());

        assertThat(verdicts).containsExactly(RateLimits.Verdict.NO_OWNER);
    }

    @Test
    void requestsThatComeShortlyAfterHearTheSameReason() {
        take();
        asked.get(0).complete(Optional.empty());
        take();

        assertThat(verdicts).containsExactly(RateLimits.Verdict.NO_OWNER, RateLimits.Verdict.NO_OWNER);
        assertThat(asked).hasSize(1);
    }

    @Test
    void aFailedQuestionCountsAsUnanswered() {
        take();
        asked.get(0).completeExceptionally(new IllegalStateException("broken"));

        assertThat(verdicts).containsExactly(RateLimits.Verdict.NO_OWNER);
    }

    @Test
    void theTokenOfARequestThatHasNotRunServesTheNextOne() {
        take();
        give(0, 1);
        limits.giveBack(BAKERY, tokens.get(0));
        take();

        assertThat(verdicts).containsExactly(RateLimits.Verdict.GRANTED, RateLimits.Verdict.GRANTED);
        assertThat(asked).hasSize(1);
    }

    @Test
    void aTokenHeldDuringASuspensionHasLapsed() {
        take();
        give(0, 1);
        limits.giveBack(BAKERY, tokens.get(0));
        now += 5_000;
        take();

        assertThat(asked).hasSize(2);
    }

    @Test
    void anAnswerThatComesAfterTheLifeOfItsTokensGrantsNothing() {
        take();
        now += LIFE_MILLIS;
        give(0, 1);

        assertThat(verdicts).containsExactly(RateLimits.Verdict.OVER_LIMIT);
    }

    @Test
    void aNodeWithManyRequestsAsksSeldom() {
        for (int i = 0; i < 1_000; i++) {
            int before = asked.size();
            take();
            if (asked.size() > before) {
                int ahead = 20;
                give(before, needed.get(before) + ahead);
            }
            now += 10;
        }

        assertThat(verdicts).hasSize(1_000).containsOnly(RateLimits.Verdict.GRANTED);
        assertThat(asked).hasSizeLessThan(200);
    }

    private void take() {
        limits.take(BAKERY, decision -> {
            verdicts.add(decision.verdict());
            decision.token().ifPresent(tokens::add);
        });
    }

    private void give(int question, int count) {
        asked.get(question).complete(Optional.of(new TokenGrant(count, 0)));
    }
}
