package org.trefoilledge.core.limit;

import java.util.List;
import org.trefoilledge.core.OrganisationId;
import org.trefoilledge.core.config.Organisation;

/**
 * The borrowed tokens, measured demand and loan sources of one organisation at one node. Used by request threads
 * and the control thread; all state is guarded by the monitor of this object.
 */
final class OrganisationLoans {
    /** Minimum requests per loan time for prefetching. Below this, most of the loans would expire unused. */
    private static final double MIN_USES_PER_LOAN = 2;
    /** Part of the loan time that one batch covers, so that the batch is spent long before it expires. */
    private static final double BATCH_FRACTION_OF_LOAN = 0.25;
    /** Demand to cover with held tokens while a loan request is in flight. */
    private static final double LEAD_MILLIS = 30;
    /** All nodes together prefetch at most this part of the burst, so that the rest is left for bursts. */
    private static final double PREFETCHED_FRACTION_OF_BURST = 0.25;
    /** Settlements wait this long for a loan request to the same owner that can carry them. */
    private static final long SETTLE_DELAY_MILLIS = 30;
    /** A loan that expires within this time is returned, so that the settlement reaches the owner before the expiry. */
    private static final long RETURN_BEFORE_EXPIRY_MILLIS = 60;
    /** A loan is kept at least this long, because requests may still be waiting for it. */
    private static final long MIN_KEEP_MILLIS = 40;
    /**
     * A response that takes longer is late. Its tokens are then requested from other sources as well, because these serve
     * waiting requests better.
     */
    private static final long USUAL_RESPONSE_MILLIS = 8;

    /** A source in the node's own zone scores higher by the expected tokens divided by this number. */
    private static final int OWN_ZONE_BONUS_DIVISOR = 4;
    /** Multiplier of a linear congruential generator modulo 2^64, which varies the shard at which a scan starts. */
    private static final long LCG_MULTIPLIER = 6364136223846793005L;

    private static final long MICROS_PER_TOKEN = LimitShares.MICROS_PER_TOKEN;

    final OrganisationId organisation;
    private final LimitSettings settings;
    private final LoanPool loans = new LoanPool();
    private final DemandMeter demand = new DemandMeter();
    private final WaitingRequests waiting;
    private List<LoanSource> sources = List.of();
    private long scanSeed;
    private int ownZoneSources;
    private double ratePerMilli;
    private double burst;
    private long requests;
    private long lastTickAt;
    private long latestTime;
    private boolean active;

    OrganisationLoans(OrganisationId organisation, LimitSettings settings, long now) {
        this.organisation = organisation;
        this.settings = settings;
        waiting = new WaitingRequests(settings.waitMillis());
        lastTickAt = now;
        latestTime = now;
    }

    /**
     * Sets the sources, with those of the node's own zone first. The state of the sources is kept if none of them
     * changed.
     */
    synchronized void configure(List<LoanSource> wanted, int ownZoneCount, long start, Organisation limits) {
        boolean same = wanted.size() == sources.size();
        for (int i = 0; same && i < wanted.size(); i++) {
            same = wanted.get(i).hasSameShare(sources.get(i));
        }
        if (!same) {
            sources = List.copyOf(wanted);
        }
        ownZoneSources = ownZoneCount;
        scanSeed ^= start;
        ratePerMilli = limits.rate() / 1_000;
        burst = limits.burst();
    }

    /**
     * Takes one token if one is available.
     *
     * @param repeated whether the request found no token before and has waited since
     */
    synchronized Take acquire(boolean repeated, long now) {
        latestTime = Math.max(latestTime, now);
        if (!repeated) {
            requests++;
        }
        boolean taken = loans.acquire(latestTime);
        if (taken && repeated) {
            waiting.removeOldest();
        } else if (!taken && !repeated) {
            waiting.add(latestTime);
        }
        boolean wakes = !active;
        active = true;
        return taken ? (wakes ? Take.TAKEN_AND_WOKEN : Take.TAKEN) : (wakes ? Take.MISSED_AND_WOKEN : Take.MISSED);
    }

    enum Take {
        TAKEN,
        TAKEN_AND_WOKEN,
        MISSED,
        MISSED_AND_WOKEN
    }

    /** Adds the loan requests to send now, and returns whether the organisation needs further ticks. */
    synchronized boolean tick(long now, RequestSink sink) {
        latestTime = Math.max(latestTime, now);
        long elapsed = latestTime - lastTickAt;
        demand.record(requests, elapsed);
        if (elapsed > 0) {
            requests = 0;
            lastTickAt = latestTime;
        }
        double perMilli = Math.min(demand.perMilli(), ratePerMilli);
        long urgent = waiting.count(latestTime) * MICROS_PER_TOKEN;
        long most = maxPrefetch(perMilli);
        long low = urgent + Math.min(most, prefetchTarget(perMilli));
        long batch = low > urgent ? Math.min(urgent + most - low, batchMicros(perMilli)) : 0;
        loans.returnUnneeded(
                low + batch,
                latestTime + RETURN_BEFORE_EXPIRY_MILLIS,
                latestTime + settings.loanMillis() - MIN_KEEP_MILLIS,
                latestTime);
        long held = loans.balance(latestTime) + inFlightMicros();
        if (held < low) {
            borrow(low + batch - held, sink);
        }
        boolean settling = sendSettlements(sink);
        active = !demand.idle() || loans.balance(latestTime) > 0 || settling;
        return active;
    }

    /** Returns the micros to hold so that requests rarely miss a token while a loan request is in flight. */
    private long prefetchTarget(double perMilli) {
        if (perMilli * settings.loanMillis() < MIN_USES_PER_LOAN) {
            return 0;
        }
        double lead = perMilli * LEAD_MILLIS;
        return (long) ((lead + 2 * Math.sqrt(lead)) * MICROS_PER_TOKEN);
    }

    /**
     * Returns this node's part of the fleet-wide prefetch limit, in proportion to its part of the rate and in whole
     * tokens. Returns 0 if the part is less than a token.
     */
    private long maxPrefetch(double perMilli) {
        double tokens = PREFETCHED_FRACTION_OF_BURST * burst * perMilli / ratePerMilli;
        return (long) Math.floor(tokens) * MICROS_PER_TOKEN;
    }

    private long batchMicros(double perMilli) {
        return (long) Math.ceil(perMilli * settings.loanMillis() * BATCH_FRACTION_OF_LOAN) * MICROS_PER_TOKEN;
    }

    private boolean sendSettlements(RequestSink sink) {
        boolean waits = false;
        for (LoanSource source : sources) {
            if (source.hasSettlementsFor(SETTLE_DELAY_MILLIS, latestTime)) {
                sink.add(this, source, 0);
            }
            waits |= source.hasSettlementsFor(0, latestTime) || source.awaitsResponse();
        }
        return waits;
    }

    private long inFlightMicros() {
        long sum = 0;
        for (LoanSource source : sources) {
            sum += source.inFlightMicros(USUAL_RESPONSE_MILLIS, latestTime);
        }
        return sum;
    }

    /**
     * Borrows from the fullest sources first, because a full bucket loses its refill. Each scan starts at another
     * shard, so that nodes that borrow at the same time do not compete for the same shards.
     */
    private void borrow(long missing, RequestSink sink) {
        long left = missing;
        int count = sources.size();
        scanSeed = LCG_MULTIPLIER * scanSeed + 1;
        int start = count == 0 ? 0 : (int) Math.floorMod(scanSeed >>> 33, count);
        for (int i = 0; i < count && left > 0; i++) {
            LoanSource source = fullestSource(start, count);
            long wanted = source == null ? 0 : requestMicros(left, source.expectedMicros(latestTime));
            if (wanted == 0) {
                return;
            }
            source.recordRequest(wanted, latestTime);
            sink.add(this, source, wanted);
            left -= wanted;
        }
    }

    private LoanSource fullestSource(int start, int count) {
        LoanSource fullest = null;
        long most = 0;
        for (int i = 0; i < count; i++) {
            int index = (start + i) % count;
            LoanSource source = sources.get(index);
            if (!source.available(latestTime)) {
                continue;
            }
            long expected = source.expectedMicros(latestTime);
            long score = index < ownZoneSources ? expected + expected / OWN_ZONE_BONUS_DIVISOR : expected;
            if (score > most) {
                fullest = source;
                most = score;
            }
        }
        return fullest;
    }

    private static long requestMicros(long left, long expected) {
        long wanted = Math.min(Math.max(left, LimitShares.MIN_LOAN_MICROS), expected);
        return wanted >= LimitShares.MIN_LOAN_MICROS ? wanted : 0;
    }

    synchronized void handleGrant(LoanSource source, long loanId, long wanted, LoanGrant grant, long sentAt, long now) {
        source.handleGrant(wanted, grant, now);
        if (grant.grantedMicros() > 0) {
            loans.add(new LoanPool.Loan(source, loanId, grant.grantedMicros(), sentAt + settings.loanMillis()));
        }
    }

    synchronized void handleFailure(LoanSource source, long now) {
        source.handleFailure(now);
    }

    /** Returns the time in which one token accrues at the configured rate, in milliseconds. */
    synchronized long millisPerToken() {
        return ratePerMilli > 0 ? (long) Math.ceil(1 / ratePerMilli) : Long.MAX_VALUE;
    }

    /** Receives the loan requests of one tick. */
    interface RequestSink {
        void add(OrganisationLoans loans, LoanSource source, long wanted);
    }
}
