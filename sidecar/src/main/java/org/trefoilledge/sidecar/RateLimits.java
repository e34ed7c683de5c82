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
import org.trefoilledge.core.rate.TokenStock;

/**
 * Takes a token for each request of a limited organisation. Requests that find none wait for the answer of the node that
 * keeps the organisation's bucket; one question at a time is under way, for all that wait. Used on the traffic thread.
 */
final class RateLimits {
    private static final Logger LOG = LoggerFactory.getLogger(RateLimits.class);
    /** Time for which nobody is asked after a refusal, if the next token takes longer. */
    private static final long REFUSAL_CACHE_MILLIS = 60;
    /** Wait asked of a caller while nobody can give tokens; a new owner is found in about that time. */
    private static final long NO_OWNER_RETRY_MILLIS = 400;

    private final Clock clock;
    private final long tokenLifeMillis;
    private final Source source;
    private final Map<OrganisationId, OrganisationState> statesByOrganisation = new HashMap<>();

    /** Whether a request may run within the limit of its organisation. */
    enum Verdict {
        GRANTED,
        OVER_LIMIT,
        /** Nobody could be asked. */
        NO_OWNER
    }

    /**
     * What was decided on one request.
     *
     * @param token the token taken, if granted
     * @param retryAfterMillis time until there may be a token, if not
     */
    record Decision(Verdict verdict, Optional<TokenStock.Token> token, long retryAfterMillis) {}

    /** Asks for tokens; the future yields nothing if nobody could give an answer. */
    @FunctionalInterface
    interface Source {
        CompletableFuture<Optional<TokenGrant>> requestTokens(OrganisationId organisation, int needed, int ahead);
    }

    private static final class OrganisationState {
        private final TokenStock stock = new TokenStock();
        private final Deque<Consumer<Decision>> waiting = new ArrayDeque<>();
        private boolean requestPending;
        /** What requests are told without asking until the time below. */
        private Verdict cachedRefusal = Verdict.OVER_LIMIT;

        private long refusalUntilMillis = Long.MIN_VALUE;
    }

    /**
     * @param clock counts suspensions, because a token that was held during one has lapsed
     * @param lifeMillis time for which a token may be used after it was asked for
     */
    RateLimits(Clock clock, long lifeMillis, Source source) {
        this.clock = clock;
        this.tokenLifeMillis = lifeMillis;
        this.source = source;
    }

    /** Takes a token for a request. */
    void acquire(OrganisationId organisation, Consumer<Decision> decided) {
        OrganisationState account = statesByOrganisation.computeIfAbsent(organisation, o -> new OrganisationState());
        long now = clock.millis();
        account.stock.demanded(now);
        Optional<TokenStock.Token> token = account.waiting.isEmpty() ? account.stock.take(now) : Optional.empty();
        if (token.isPresent()) {
            decided.accept(new Decision(Verdict.GRANTED, token, 0));
            requestAhead(organisation, account, now);
        } else if (now < account.refusalUntilMillis) {
            decided.accept(refusal(account.cachedRefusal, account.refusalUntilMillis - now));
        } else {
            account.waiting.addLast(decided);
            requestTokens(organisation, account);
        }
    }

    /** Puts back the token of a request that has not run. */
    void returnToken(OrganisationId organisation, TokenStock.Token token) {
        OrganisationState account = statesByOrganisation.get(organisation);
        if (account != null) {
            account.stock.putBack(token, clock.millis());
        }
    }

    /** Forgets organisations that are gone from the configuration. */
    void retain(Set<OrganisationId> organisations) {
        statesByOrganisation
                .entrySet()
                .removeIf(entry -> !organisations.contains(entry.getKey())
                        && entry.getValue().waiting.isEmpty());
    }

    private void requestAhead(OrganisationId organisation, OrganisationState account, long now) {
        if (!account.requestPending
                && now >= account.refusalUntilMillis
                && account.stock.ahead(tokenLifeMillis, now) > 0) {
            requestTokens(organisation, account);
        }
    }

    private void requestTokens(OrganisationId organisation, OrganisationState account) {
        if (account.requestPending) {
            return;
        }
        long asked = clock.millis();
        int needed = account.waiting.size();
        account.requestPending = true;
        var unused = source.requestTokens(organisation, needed, account.stock.ahead(tokenLifeMillis, asked))
                .whenComplete((grant, error) -> {
                    account.requestPending = false;
                    if (error != null) {
                        LOG.warn("rate: asking for tokens of {} failed", organisation, error);
                    }
                    applyAnswer(account, needed, asked, error == null ? grant : Optional.empty());
                    if (!account.waiting.isEmpty()) {
                        requestTokens(organisation, account);
                    }
                });
    }

    /** Decides on the requests for which the question was asked; later ones are asked for again. */
    private void applyAnswer(OrganisationState account, int needed, long asked, Optional<TokenGrant> grant) {
        long now = clock.millis();
        grant.ifPresent(given -> account.stock.add(given.tokens(), asked, tokenLifeMillis));
        long retryAfter = grant.map(TokenGrant::retryAfterMillis).orElse(NO_OWNER_RETRY_MILLIS);
        Verdict otherwise = grant.isPresent() ? Verdict.OVER_LIMIT : Verdict.NO_OWNER;
        if (retryAfter > 0) {
            account.cachedRefusal = otherwise;
            account.refusalUntilMillis = now + Math.min(REFUSAL_CACHE_MILLIS, retryAfter);
        }
        for (int i = 0; i < needed; i++) {
            Optional<TokenStock.Token> token = account.stock.take(now);
            Decision decision =
                    token.isPresent() ? new Decision(Verdict.GRANTED, token, 0) : refusal(otherwise, retryAfter);
            account.waiting.pollFirst().accept(decision);
        }
    }

    private static Decision refusal(Verdict verdict, long retryAfterMillis) {
        return new Decision(verdict, Optional.empty(), Math.max(1, retryAfterMillis));
    }
}
