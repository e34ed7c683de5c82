package org.trefoilledge.core.limit;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.random.RandomGenerator;
import org.trefoilledge.core.OrganisationId;
import org.trefoilledge.core.ZoneId;
import org.trefoilledge.core.config.Organisation;

/**
 * The tokens that a node has borrowed, and the loan requests that keep it supplied. {@link #tryTake},
 * {@link #tryTakeAgain} and {@link #retryAfterMillis} may be called by any thread; all other methods belong to the
 * control thread. Times are milliseconds of the node's clock.
 */
public final class Wallet {
    /** A request without an answer is given up after this time; the transport usually reports the failure earlier. */
    private static final long ANSWER_TIMEOUT_MILLIS = 200;

    private static final long LONGEST_RETRY_AFTER_MILLIS = 60_000;

    private final LimitSettings settings;
    private final long seed;
    private final ConcurrentLinkedQueue<Account> woken = new ConcurrentLinkedQueue<>();
    private final List<Account> active = new ArrayList<>();
    private final Map<Long, Pending> pending = new LinkedHashMap<>();
    private volatile Map<OrganisationId, Account> accounts = Map.of();
    private long nextId = 1;

    private record Pending(Account account, LoanSource source, long wanted, long sentAt) {}

    /**
     * Creates an empty wallet.
     *
     * @param seed differs between nodes, for example a hash of the host, so that they start at different shards
     */
    public Wallet(LimitSettings settings, long seed) {
        this.settings = settings;
        this.seed = seed;
    }

    /** Sets the organisations and where their shares are. Tokens borrowed before remain valid until they expire. */
    public void configure(
            Collection<Organisation> organisations, List<ZoneId> zones, ZoneId own, int shardsPerZone, long now) {
        List<ZoneId> order = zoneOrder(zones, own);
        Map<OrganisationId, Account> next = new HashMap<>();
        for (Organisation organisation : organisations) {
            Account account = accounts.get(organisation.id());
            if (account == null) {
                account = new Account(organisation.id(), settings, now);
            }
            configure(account, organisation, order, zones.size(), shardsPerZone, now);
            next.put(organisation.id(), account);
        }
        accounts = next;
        active.removeIf(account -> !next.containsKey(account.organisation));
    }

    private List<ZoneId> zoneOrder(List<ZoneId> zones, ZoneId own) {
        List<ZoneId> order = new ArrayList<>();
        if (zones.contains(own)) {
            order.add(own);
        }
        if (settings.otherZones()) {
            zones.stream().filter(zone -> !zone.equals(own)).forEach(order::add);
        }
        return order;
    }

    private void configure(
            Account account, Organisation organisation, List<ZoneId> order, int zones, int shardsPerZone, long now) {
        int count = ShareMap.count(organisation.burst(), zones, shardsPerZone);
        long rate = ShareMap.shareMicros(organisation.rate(), zones, count);
        long burst = ShareMap.shareMicros(organisation.burst(), zones, count);
        int[] shards = ShareMap.shards(organisation.id(), count, shardsPerZone);
        List<LoanSource> sources = new ArrayList<>();
        for (ZoneId zone : order) {
            for (int shard : shards) {
                sources.add(new LoanSource(zone, shard, rate, burst, now));
            }
        }
        long start = seed ^ organisation.id().hashCode();
        account.configure(sources, count, start, organisation);
    }

    /** Takes one token for a request. Does not block; a request of an unknown organisation gets none. */
    public boolean tryTake(OrganisationId organisation, long now) {
        return take(organisation, false, now);
    }

    /** As {@link #tryTake}, for a request that found no token before and waits: it does not count as new demand. */
    public boolean tryTakeAgain(OrganisationId organisation, long now) {
        return take(organisation, true, now);
    }

    private boolean take(OrganisationId organisation, boolean repeated, long now) {
        Account account = accounts.get(organisation);
        if (account == null) {
            return false;
        }
        Account.Take result = account.take(repeated, now);
        if (result == Account.Take.TAKEN_AND_WOKEN || result == Account.Take.MISSED_AND_WOKEN) {
            woken.add(account);
        }
        return result == Account.Take.TAKEN || result == Account.Take.TAKEN_AND_WOKEN;
    }

    /**
     * Returns the loan requests to send now. Called every 10 ms; an additional call when a request found no token
     * shortens its wait.
     */
    public List<LoanAsk> tick(long now) {
        giveUp(now);
        for (Account account = woken.poll(); account != null; account = woken.poll()) {
            active.add(account);
        }
        List<LoanAsk> asks = new ArrayList<>();
        Account.AskSink sink = (account, source, wanted) -> asks.add(ask(account, source, wanted, now));
        active.removeIf(account -> !account.tick(now, sink));
        return asks;
    }

    private LoanAsk ask(Account account, LoanSource source, long wanted, long now) {
        long id = nextId++;
        if (wanted > 0) {
            pending.put(id, new Pending(account, source, wanted, now));
        }
        return new LoanAsk(id, account.organisation, source.zone, source.shard, wanted, source.takeSettled());
    }

    /** Oldest requests come first, so the scan ends at the first one that may still be answered. */
    private void giveUp(long now) {
        Iterator<Pending> oldest = pending.values().iterator();
        while (oldest.hasNext()) {
            Pending ask = oldest.next();
            if (now - ask.sentAt() < ANSWER_TIMEOUT_MILLIS) {
                return;
            }
            oldest.remove();
            ask.account().failed(ask.source(), now);
        }
    }

    /** Takes the response to a request; a response to one that was given up or is unknown is ignored. */
    public void answered(long askId, LoanGrant grant, long now) {
        Pending ask = pending.remove(askId);
        if (ask != null) {
            ask.account().answered(ask.source(), askId, ask.wanted(), grant, ask.sentAt(), now);
        }
    }

    /** The request could not be sent, or its response is lost. */
    public void failed(long askId, long now) {
        Pending ask = pending.remove(askId);
        if (ask != null) {
            ask.account().failed(ask.source(), now);
        }
    }

    /** Returns when a refused caller should try again: about the time of one token, with jitter, in milliseconds. */
    public long retryAfterMillis(OrganisationId organisation, long now, RandomGenerator random) {
        long token = Optional.ofNullable(accounts.get(organisation))
                .map(Account::tokenMillis)
                .orElse(LONGEST_RETRY_AFTER_MILLIS);
        long base = Math.max(100, Math.min(token, LONGEST_RETRY_AFTER_MILLIS / 2));
        return base + random.nextLong(base);
    }
}
