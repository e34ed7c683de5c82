package org.trefoilledge.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.OrganisationId;

class RateLimitsTest {
    private static final OrganisationId BAKERY = new OrganisationId("bakery");
    private static final HostId RICH = new HostId("rich");

    private long now = 1_000;
    private final RateLimits limits = new RateLimits(() -> now);
    private final List<CompletableFuture<Double>> asked = new ArrayList<>();
    private final List<Boolean> decisions = new ArrayList<>();

    RateLimitsTest() {
        limits.source((lender, organisation, wanted) -> {
            CompletableFuture<Double> answer = new CompletableFuture<>();
            asked.add(answer);
            return answer;
        });
        limits.configure(Map.of(BAKERY, new RateLimits.Part(10, 1)));
    }

    @Test
    void anOrganisationWithoutALimitIsNeverRefused() {
        take(new OrganisationId("unlimited"));

        assertThat(decisions).containsExactly(true);
    }

    @Test
    void aRequestThatFindsNoTokenAndNobodyToAskIsRefusedAtOnce() {
        take(BAKERY);

        assertThat(decisions).containsExactly(false);
    }

    @Test
    void aRequestThatFindsNoTokenRunsOnOneOfAnotherNode() {
        lender(5);
        take(BAKERY);
        assertThat(decisions).isEmpty();
        asked.get(0).complete(1.0);

        assertThat(decisions).containsExactly(true);
    }

    @Test
    void waitingRequestsAreRefusedWhenTheOthersHaveNothing() {
        lender(5);
        take(BAKERY);
        take(BAKERY);
        asked.get(0).complete(0.0);
        asked.get(1).complete(0.0);

        assertThat(decisions).containsExactly(false, false);
    }

    @Test
    void nobodyIsAskedAgainForAMomentAfterNobodyHadTokens() {
        lender(5);
        take(BAKERY);
        asked.get(0).complete(0.0);
        asked.get(1).complete(0.0);
        take(BAKERY);
        assertThat(asked).hasSize(2);
        assertThat(decisions).containsExactly(false, false);
    }

    @Test
    void aNodeThatDoesNotAnswerCountsAsWithoutTokens() {
        lender(1);
        take(BAKERY);
        asked.get(0).completeExceptionally(new IllegalStateException("timed out"));

        assertThat(decisions).containsExactly(false);
    }

    private void take(OrganisationId organisation) {
        limits.take(organisation, decisions::add);
    }

    private void lender(double tokens) {
        limits.lenders(new HashMap<>(Map.of(RICH, new RateLimits.Lender("127.0.0.1:1", true))));
        limits.heard(RICH, Map.of(BAKERY, tokens));
    }
}
