package org.trefoilledge.sidecar;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Consumer;
import org.trefoilledge.core.Clock;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.OrganisationId;
import org.trefoilledge.core.share.RateBucket;

/**
 * This node's part of the organisations' limits. A request that finds no token here waits a moment for one from the
 * node that said to have most of them. Used on the traffic thread, but for {@link #arrivals}.
 */
final class RateLimits {
    /** Nodes that are asked for tokens before requests are refused. */
    private static final int MAX_ASKED = 2;
    /** Time for which nobody is asked after nobody had tokens. */
    private static final long DRY_MILLIS = 60;

    private final Clock clock;
    private final Map<OrganisationId, Account> accounts = new HashMap<>();
    private final Map<OrganisationId, LongAdder> arrivals = new ConcurrentHashMap<>();
    private Map<HostId, Lender> lenders = Map.of();
    private Source source = (lender, organisation, wanted) -> CompletableFuture.completedFuture(0.0);

    /** Requests a second, and requests at once, that this node may admit. */
    record Part(double ratePerSecond, double depth) {}

    /** Another node and the tokens that it last said to have. */
    static final class Lender {
        private final String address;
        private final boolean sameZone;
        private final Map<OrganisationId, Double> tokens = new HashMap<>();

        Lender(String address, boolean sameZone) {
            this.address = address;
            this.sameZone = sameZone;
        }

        String address() {
            return address;
        }
    }

    /** Asks another node for tokens. */
    @FunctionalInterface
    interface Source {
        CompletableFuture<Double> ask(Lender lender, OrganisationId organisation, double wanted);
    }

    /** The tokens of one organisation and the requests that wait for one. */
    private static final class Account {
        private final RateBucket bucket;
        private final Deque<Consumer<Boolean>> waiting = new ArrayDeque<>();
        private int asked;
        private boolean asking;
        private long dryUntil = Long.MIN_VALUE;

        Account(long now) {
            bucket = new RateBucket(now);
        }
    }

    RateLimits(Clock clock) {
        this.clock = clock;
    }

    /** Sets how other nodes are asked. */
    void source(Source asks) {
        source = asks;
    }

    /** Replaces the parts; organisations that are absent have no limit. */
    void configure(Map<OrganisationId, Part> parts) {
        long now = clock.millis();
        accounts.entrySet().removeIf(entry -> {
            boolean unlimited = !parts.containsKey(entry.getKey());
            if (unlimited) {
                decideAll(entry.getValue(), true);
            }
            return unlimited;
        });
        parts.forEach((organisation, part) -> accounts.computeIfAbsent(organisation, o -> new Account(now))
                .bucket
                .configure(part.ratePerSecond(), part.depth(), now));
    }

    /** Replaces the nodes that may be asked; what is known of their tokens is kept. */
    void lenders(Map<HostId, Lender> current) {
        current.forEach((host, lender) -> {
            Lender known = lenders.get(host);
            if (known != null) {
                lender.tokens.putAll(known.tokens);
            }
        });
        lenders = current;
    }

    /** Takes what another node said of its tokens. */
    void heard(HostId host, Map<OrganisationId, Double> tokens) {
        Lender lender = lenders.get(host);
        if (lender != null) {
            lender.tokens.clear();
            lender.tokens.putAll(tokens);
        }
    }

    /**
     * Takes a token for a request.
     *
     * @param decided called with false if the organisation is over its limit, at once or after asking other nodes
     */
    void take(OrganisationId organisation, Consumer<Boolean> decided) {
        arrivals.computeIfAbsent(organisation, o -> new LongAdder()).increment();
        Account account = accounts.get(organisation);
        long now = clock.millis();
        if (account == null || (account.waiting.isEmpty() && account.bucket.tryTake(now))) {
            decided.accept(true);
        } else if (now < account.dryUntil) {
            decided.accept(false);
        } else {
            account.waiting.addLast(decided);
            if (!account.asking) {
                account.asked = 0;
                ask(organisation, account);
            }
        }
    }

    /** Puts back the token of a request that has not run. */
    void giveBack(OrganisationId organisation) {
        Account account = accounts.get(organisation);
        if (account != null) {
            account.bucket.giveBack();
        }
    }

    /** Takes tokens out for another node. */
    double giveAway(OrganisationId organisation, double wanted) {
        Account account = accounts.get(organisation);
        return account == null ? 0 : account.bucket.giveAway(wanted, clock.millis());
    }

    /** Returns the tokens of each limited organisation. */
    Map<OrganisationId, Double> tokens() {
        Map<OrganisationId, Double> tokens = new HashMap<>();
        accounts.forEach((organisation, account) -> tokens.put(organisation, account.bucket.tokens(clock.millis())));
        return tokens;
    }

    /** Returns the time until a token is there, at most the bound, in milliseconds. */
    long millisUntilToken(OrganisationId organisation, long bound) {
        Account account = accounts.get(organisation);
        return account == null ? 0 : account.bucket.millisUntilToken(bound);
    }

    /** Returns the requests of each organisation since the last call. May be called on any thread. */
    Map<OrganisationId, Long> arrivals() {
        Map<OrganisationId, Long> counts = new HashMap<>();
        arrivals.forEach((organisation, count) -> counts.put(organisation, count.sumThenReset()));
        return counts;
    }

    private void ask(OrganisationId organisation, Account account) {
        Lender lender = account.asked < MAX_ASKED ? richest(organisation) : null;
        if (lender == null) {
            account.dryUntil = clock.millis() + DRY_MILLIS;
            decideAll(account, false);
            return;
        }
        account.asked++;
        account.asking = true;
        double wanted = account.waiting.size() - account.bucket.tokens(clock.millis());
        lender.tokens.merge(organisation, -wanted, Double::sum);
        var unused = source.ask(lender, organisation, wanted).whenComplete((given, error) -> {
            account.asking = false;
            received(organisation, account, error == null ? given : 0);
        });
    }

    private void received(OrganisationId organisation, Account account, double given) {
        long now = clock.millis();
        account.bucket.receive(given, now);
        while (!account.waiting.isEmpty() && account.bucket.tryTake(now)) {
            account.waiting.pollFirst().accept(true);
        }
        if (!account.waiting.isEmpty()) {
            ask(organisation, account);
        }
    }

    /** Returns the node with most tokens; one of the own zone counts double, because it answers sooner. */
    private Lender richest(OrganisationId organisation) {
        Lender best = null;
        double most = 0;
        for (Lender lender : lenders.values()) {
            double tokens = lender.tokens.getOrDefault(organisation, 0.0) * (lender.sameZone ? 2 : 1);
            if (tokens > most) {
                most = tokens;
                best = lender;
            }
        }
        return best;
    }

    private static void decideAll(Account account, boolean granted) {
        Deque<Consumer<Boolean>> decided = new ArrayDeque<>(account.waiting);
        account.waiting.clear();
        decided.forEach(waiter -> waiter.accept(granted));
    }
}
