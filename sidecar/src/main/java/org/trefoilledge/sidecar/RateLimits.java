package org.trefoilledge.sidecar;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.trefoilledge.core.Clock;
import org.trefoilledge.core.OrganisationId;
import org.trefoilledge.core.rate.TokenGrant;
import org.trefoilledge.core.rate.TokenPool;

/**
 * Acquires a token for each request of an organisation with a rate limit. Requests without a local token wait for the
 * owner of the organisation's token bucket; at most one token request per organisation is pending, for all requests
 * that waited when it was sent. Used on the traffic thread.
 */
final class RateLimits {
    private static final Logger LOG = LoggerFactory.getLogger(RateLimits.class);
    /** Longest time for which a refusal is repeated without asking the owner again. */
    private static final long REFUSAL_CACHE_MILLIS = 60;
    /** Retry delay sent to callers while no owner answers; a new owner is found in about that time. */
    private static final long NO_OWNER_RETRY_MILLIS = 400;

    private final Clock clock;
    private final long tokenLifeMillis;
    private final Source source;
    private final Map<OrganisationId, OrganisationState> statesByOrganisation = new HashMap<>();

    /** Result of the check of a request against the limit of its organisation. */
    enum Verdict {
        GRANTED,
        OVER_LIMIT,
        /** No owner or reserve answered. */
        NO_OWNER
    }

    /**
     * The decision on one request.
     *
     * @param token the acquired token, empty if refused
     * @param retryAfterMillis time until a token may be available, 0 if granted
     */
    record Decision(Verdict verdict, Optional<TokenPool.Token> token, long retryAfterMillis) {}

    /** Provides tokens from the owners of the buckets. */
    @FunctionalInterface
    interface Source {
        /**
         * Requests tokens.
         *
         * @param needed tokens for requests that wait
         * @param ahead more tokens, for requests that are expected
         * @return completes empty if no owner or reserve answered
         */
        CompletableFuture<Optional<TokenGrant>> requestTokens(OrganisationId organisation, int needed, int ahead);
    }

    /** The tokens, the waiting requests and the last refusal of one organisation. */
    private static final class OrganisationState {
        private final TokenPool stock = new TokenPool();
        private final Deque<Consumer<Decision>> waiting = new ArrayDeque<>();
        private boolean requestPending;
        /** Verdict for requests without a token, up to {@link #refusalUntilMillis}. */
        private Verdict cachedRefusal = Verdict.OVER_LIMIT;

        private long refusalUntilMillis = Long.MIN_VALUE;
    }

    /**
     * @param clock counts suspensions, because a token that was held during one has expired
     * @param tokenLifeMillis time for which a token may be used, from the request for it
     */
    RateLimits(Clock clock, long tokenLifeMillis, Source source) {
        this.clock = clock;
        this.tokenLifeMillis = tokenLifeMillis;
        this.source = source;
    }

    /** Acquires a token for a request; calls back at once or when the owner has answered. */
    void acquire(OrganisationId organisation, Consumer<Decision> onDecision) {
        OrganisationState state = statesByOrganisation.computeIfAbsent(organisation, o -> new OrganisationState());
        long now = clock.millis();
        state.stock.recordDemand(now);
        Optional<TokenPool.Token> token = state.waiting.isEmpty() ? state.stock.take(now) : Optional.empty();
        if (token.isPresent()) {
            onDecision.accept(new Decision(Verdict.GRANTED, token, 0));
            requestAhead(organisation, state, now);
        } else if (now < state.refusalUntilMillis) {
            onDecision.accept(refusal(state.cachedRefusal, state.refusalUntilMillis - now));
        } else {
            state.waiting.addLast(onDecision);
            requestTokens(organisation, state);
        }
    }

    /**
     * The state of an organisation's limit on this node.
     *
     * @param tokens tokens that this node holds
     * @param waiting requests that wait for tokens
     * @param refusedMillis time for which requests without a token are refused without asking the owner again
     * @param refusal verdict on such requests
     */
    record View(int tokens, int waiting, long refusedMillis, Verdict refusal) {}

    /** Returns the state of the limit of an organisation. Takes no token and changes nothing. */
    View view(OrganisationId organisation) {
        OrganisationState state = statesByOrganisation.get(organisation);
        long now = clock.millis();
        return state == null
                ? new View(0, 0, 0, Verdict.OVER_LIMIT)
                : new View(
                        state.stock.available(now),
                        state.waiting.size(),
                        now < state.refusalUntilMillis ? state.refusalUntilMillis - now : 0,
                        state.cachedRefusal);
    }

    /** Returns the token of a request that has not run. */
    void returnToken(OrganisationId organisation, TokenPool.Token token) {
        OrganisationState state = statesByOrganisation.get(organisation);
        if (state != null) {
            state.stock.putBack(token, clock.millis());
        }
    }

    /** Drops the state of organisations that are not among the given ones and have no waiting requests. */
    void retain(Set<OrganisationId> organisations) {
        statesByOrganisation
                .entrySet()
                .removeIf(entry -> !organisations.contains(entry.getKey())
                        && entry.getValue().waiting.isEmpty());
    }

    /** Requests tokens for expected requests, if the stock is low. */
    private void requestAhead(OrganisationId organisation, OrganisationState state, long now) {
        if (!state.requestPending
                && now >= state.refusalUntilMillis
                && state.stock.prefetchCount(tokenLifeMillis, now) > 0) {
            requestTokens(organisation, state);
        }
    }

    private void requestTokens(OrganisationId organisation, OrganisationState state) {
        if (state.requestPending) {
            return;
        }
        long sentMillis = clock.millis();
        int needed = state.waiting.size();
        state.requestPending = true;
        var unused = source.requestTokens(organisation, needed, state.stock.prefetchCount(tokenLifeMillis, sentMillis))
                .whenComplete((grant, error) -> {
                    state.requestPending = false;
                    if (error != null) {
                        LOG.warn("rate: asking for tokens of {} failed", organisation, error);
                    }
                    applyAnswer(state, needed, sentMillis, error == null ? grant : Optional.empty());
                    if (!state.waiting.isEmpty()) {
                        requestTokens(organisation, state);
                    }
                });
    }

    /** Decides on the requests for which the tokens were requested; later ones wait for the next answer. */
    private void applyAnswer(OrganisationState state, int needed, long sentMillis, Optional<TokenGrant> grant) {
        long now = clock.millis();
        grant.ifPresent(granted -> state.stock.add(granted.tokens(), sentMillis, tokenLifeMillis));
        long retryAfter = grant.map(TokenGrant::retryAfterMillis).orElse(NO_OWNER_RETRY_MILLIS);
        Verdict refusalVerdict = grant.isPresent() ? Verdict.OVER_LIMIT : Verdict.NO_OWNER;
        if (retryAfter > 0) {
            state.cachedRefusal = refusalVerdict;
            state.refusalUntilMillis = now + Math.min(REFUSAL_CACHE_MILLIS, retryAfter);
        }
        for (int i = 0; i < needed; i++) {
            Optional<TokenPool.Token> token = state.stock.take(now);
            Decision decision =
                    token.isPresent() ? new Decision(Verdict.GRANTED, token, 0) : refusal(refusalVerdict, retryAfter);
            state.waiting.pollFirst().accept(decision);
        }
    }

    private static Decision refusal(Verdict verdict, long retryAfterMillis) {
        return new Decision(verdict, Optional.empty(), Math.max(1, retryAfterMillis));
    }
}
