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
 * Holds the tokens that a node has borrowed and creates the loan requests that replenish them. {@link #tryAcquire},
 * {@link #retryAcquire} and {@link #retryAfterMillis} may be called by any thread; all other methods belong to the
 * control thread. Times are milliseconds of the node's clock.
 */
public final class TokenBorrower {
    /** Least time between two ticks when requests wait; it collects the requests of a burst. */
    public static final long URGENT_TICK_MILLIS = 2;

    /** A loan request without a response fails after this time; the transport usually reports the failure earlier. */
    private static final long RESPONSE_TIMEOUT_MILLIS = 100;

    private static final long MAX_RETRY_AFTER_MILLIS = 60_000;

    private final LimitSettings settings;
    private final long seed;
    private final ConcurrentLinkedQueue<OrganisationLoans> activated = new ConcurrentLinkedQueue<>();
    private final List<OrganisationLoans> active = new ArrayList<>();
    private final Map<Long, Pending> pending = new LinkedHashMap<>();
    private volatile Map<OrganisationId, OrganisationLoans> loansByOrganisation = Map.of();
    private volatile boolean urgentTickNeeded;
    private long nextId = 1;

    private record Pending(OrganisationLoans loans, LoanSource source, long wanted, long sentAt) {}

    /**
     * Creates a borrower without organisations.
     *
     * @param seed differs between nodes, for example a hash of the host, so that they start at different shards
     */
    public TokenBorrower(LimitSettings settings, long seed) {
        this.settings = settings;
        this.seed = seed;
    }

    /** Sets the organisations and where their shares are. Tokens borrowed before remain valid until they expire. */
    public void configure(
            Collection<Organisation> organisations, List<ZoneId> zones, ZoneId ownZone, int shardsPerZone, long now) {
        List<ZoneId> order = zoneOrder(zones, ownZone);
        Map<OrganisationId, OrganisationLoans> next = new HashMap<>();
        for (Organisation organisation : organisations) {
            OrganisationLoans loans = loansByOrganisation.get(organisation.id());
            if (loans == null) {
                loans = new OrganisationLoans(organisation.id(), settings, now);
            }
            configure(loans, organisation, order, zones.size(), shardsPerZone, now);
            next.put(organisation.id(), loans);
        }
        loansByOrganisation = next;
        active.removeIf(loans -> !next.containsKey(loans.organisation));
    }

    private List<ZoneId> zoneOrder(List<ZoneId> zones, ZoneId ownZone) {
        List<ZoneId> order = new ArrayList<>();
        if (zones.contains(ownZone)) {
            order.add(ownZone);
        }
        if (settings.borrowFromOtherZones()) {
            zones.stream().filter(zone -> !zone.equals(ownZone)).forEach(order::add);
        }
        return order;
    }

    private void configure(
            OrganisationLoans loans,
            Organisation organisation,
            List<ZoneId> order,
            int zones,
            int shardsPerZone,
            long now) {
        int count = LimitShares.shardCount(organisation.burst(), zones, shardsPerZone);
        long rate = LimitShares.shareMicros(organisation.rate(), zones, count);
        long burst = LimitShares.shareMicros(organisation.burst(), zones, count);
        int[] shards = LimitShares.shards(organisation.id(), count, shardsPerZone);
        List<LoanSource> sources = new ArrayList<>();
        for (ZoneId zone : order) {
            for (int shard : shards) {
                sources.add(new LoanSource(zone, shard, rate, burst, now));
            }
        }
        long start = seed ^ organisation.id().hashCode();
        loans.configure(sources, count, start, organisation);
    }

    /** Takes one token for a request. Does not block; a request of an unknown organisation gets none. */
    public boolean tryAcquire(OrganisationId organisation, long now) {
        return acquire(organisation, false, now);
    }

    /** As {@link #tryAcquire}, for a request that found no token before and waits: it does not count as new demand. */
    public boolean retryAcquire(OrganisationId organisation, long now) {
        return acquire(organisation, true, now);
    }

    private boolean acquire(OrganisationId organisation, boolean repeated, long now) {
        OrganisationLoans loans = loansByOrganisation.get(organisation);
        if (loans == null) {
            return false;
        }
        OrganisationLoans.Take result = loans.acquire(repeated, now);
        if (result == OrganisationLoans.Take.TAKEN_AND_WOKEN || result == OrganisationLoans.Take.MISSED_AND_WOKEN) {
            activated.add(loans);
        }
        if (!repeated
                && (result == OrganisationLoans.Take.MISSED || result == OrganisationLoans.Take.MISSED_AND_WOKEN)) {
            urgentTickNeeded = true;
        }
        return result == OrganisationLoans.Take.TAKEN || result == OrganisationLoans.Take.TAKEN_AND_WOKEN;
    }

    /**
     * Returns whether a request waits for a token and the next tick would probably request one. The control thread should
     * then call {@link #tick} after {@link #URGENT_TICK_MILLIS} instead of 10 ms. Any thread may call this.
     */
    public boolean urgentTickNeeded() {
        return urgentTickNeeded;
    }

    /** Returns the loan requests to send now. Called every 10 ms, earlier if {@link #urgentTickNeeded}. */
    public List<BorrowRequest> tick(long now) {
        urgentTickNeeded = false;
        expireRequests(now);
        for (OrganisationLoans loans = activated.poll(); loans != null; loans = activated.poll()) {
            active.add(loans);
        }
        List<BorrowRequest> requests = new ArrayList<>();
        OrganisationLoans.RequestSink sink =
                (loans, source, wanted) -> requests.add(createRequest(loans, source, wanted, now));
        active.removeIf(loans -> !loans.tick(now, sink));
        return requests;
    }

    private BorrowRequest createRequest(OrganisationLoans loans, LoanSource source, long wanted, long now) {
        long id = nextId++;
        if (wanted > 0) {
            pending.put(id, new Pending(loans, source, wanted, now));
        }
        return new BorrowRequest(id, loans.organisation, source.zone, source.shard, wanted, source.drainSettlements());
    }

    /** Fails requests that have timed out. Requests are in sending order, so the scan ends at the first recent one. */
    private void expireRequests(long now) {
        Iterator<Pending> oldest = pending.values().iterator();
        while (oldest.hasNext()) {
            Pending request = oldest.next();
            if (now - request.sentAt() < RESPONSE_TIMEOUT_MILLIS) {
                return;
            }
            oldest.remove();
            request.loans().handleFailure(request.source(), now);
        }
    }

    /** Handles the response to a loan request. Ignored if the request has timed out or is unknown. */
    public void handleGrant(long requestId, LoanGrant grant, long now) {
        Pending request = pending.remove(requestId);
        if (request != null) {
            request.loans().handleGrant(request.source(), requestId, request.wanted(), grant, request.sentAt(), now);
            if (grant.grantedMicros() < request.wanted()) {
                urgentTickNeeded = true;
            }
        }
    }

    /** Handles a loan request that could not be sent or whose response was lost. */
    public void handleFailure(long requestId, long now) {
        Pending request = pending.remove(requestId);
        if (request != null) {
            request.loans().handleFailure(request.source(), now);
        }
    }

    /** Returns when a refused caller should try again: about the time of one token, with jitter, in milliseconds. */
    public long retryAfterMillis(OrganisationId organisation, long now, RandomGenerator random) {
        long token = Optional.ofNullable(loansByOrganisation.get(organisation))
                .map(OrganisationLoans::millisPerToken)
                .orElse(MAX_RETRY_AFTER_MILLIS);
        long base = Math.max(100, Math.min(token, MAX_RETRY_AFTER_MILLIS / 2));
        return base + random.nextLong(base);
    }
}
