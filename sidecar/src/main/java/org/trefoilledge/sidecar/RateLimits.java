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
    private static final long DRY_MILLIS = 60;
    /** Wait asked of a caller while nobody can give tokens; a new owner is found in about that time. */
    private static final long NO_OWNER_RETRY_MILLIS = 400;

    private final Clock clock;
    private final long lifeMillis;
    private final Source source;
    private final Map<OrganisationId, Account> accounts = new HashMap<>();

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
        CompletableFuture<Optional<TokenGrant>> ask(OrganisationId organisation, int needed, int ahead);
    }

    private static final class Account {
        private final TokenStock stock = new TokenStock();
        private final Deque<Consumer<Decision>> waiting = new ArrayDeque<>();
        private boolean asking;
        /** What requests are told without asking until the time below. */
        private Verdict dryVerdict = Verdict.OVER_LIMIT;

        private long dryUntil = Long.MIN_VALUE;
    }

    /**
     * @param clock counts suspensions, because a token that was held during one has lapsed
     * @param lifeMillis time for which a token may be used after it was asked for
     */
    RateLimits(Clock clock, long lifeMillis, Source source) {
        this.clock = clock;
        this.lifeMillis = lifeMillis;
        this.source = source;
    }

    /** Takes a token for a request. */
    void take(OrganisationId organisation, Consumer<Decision> decided) {
        Account account = accounts.computeIfAbsent(organisation, o -> new Account());
        long now = clock.millis();
        account.stock.demanded(now);
        Optional<TokenStock.Token> token = account.waiting.isEmpty() ? account.stock.take(now) : Optional.empty();
        if (token.isPresent()) {
            decided.accept(new Decision(Verdict.GRANTED, token, 0));
            askAhead(organisation, account, now);
        } else if (now < account.dryUntil) {
            decided.accept(refused(account.dryVerdict, account.dryUntil - now));
        } else {
            account.waiting.addLast(decided);
            ask(organisation, account);
        }
    }

    /** Puts back the token of a request that has not run. */
    void giveBack(OrganisationId organisation, TokenStock.Token token) {
        Account account = accounts.get(organisation);
        if (account != null) {
            account.stock.putBack(token, clock.millis());
        }
    }

    /** Forgets organisations that are gone from the configuration. */
    void keep(Set<OrganisationId> organisations) {
        accounts.entrySet()
                .removeIf(entry -> !organisations.contains(entry.getKey())
                        && entry.getValue().waiting.isEmpty());
    }

    private void askAhead(OrganisationId organisation, Account account, long now) {
        if (!account.asking && now >= account.dryUntil && account.stock.ahead(lifeMillis, now) > 0) {
            ask(organisation, account);
        }
    }

    private void ask(OrganisationId organisation, Account account) {
        if (account.asking) {
            return;
        }
        long asked = clock.millis();
        int needed = account.waiting.size();
        account.asking = true;
        var unused = source.ask(organisation, needed, account.stock.ahead(lifeMillis, asked))
                .whenComplete((grant, error) -> {
                    account.asking = false;
                    if (error != null) {
                        LOG.warn("rate: asking for tokens of {} failed", organisation, error);
                    }
                    answered(account, needed, asked, error == null ? grant : Optional.empty());
                    if (!account.waiting.isEmpty()) {
                        ask(organisation, account);
                    }
                });
    }

    /** Decides on the requests for which the question was asked; later ones are asked for again. */
    private void answered(Account account, int needed, long asked, Optional<TokenGrant> grant) {
        long now = clock.millis();
        grant.ifPresent(given -> account.stock.add(given.tokens(), asked, lifeMillis));
        long retryAfter = grant.map(TokenGrant::retryAfterMillis).orElse(NO_OWNER_RETRY_MILLIS);
        Verdict otherwise = grant.isPresent() ? Verdict.OVER_LIMIT : Verdict.NO_OWNER;
        if (retryAfter > 0) {
            account.dryVerdict = otherwise;
            account.dryUntil = now + Math.min(DRY_MILLIS, retryAfter);
        }
        for (int i = 0; i < needed; i++) {
            Optional<TokenStock.Token> token = account.stock.take(now);
            Decision decision =
                    token.isPresent() ? new Decision(Verdict.GRANTED, token, 0) : refused(otherwise, retryAfter);
            account.waiting.pollFirst().accept(decision);
        }
    }

    private static Decision refused(Verdict verdict, long retryAfterMillis) {
        return new Decision(verdict, Optional.empty(), Math.max(1, retryAfterMillis));
    }
}
