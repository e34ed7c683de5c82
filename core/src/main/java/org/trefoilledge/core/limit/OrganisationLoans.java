package org.trefoilledge.core.limit;

import java.util.List;
import org.trefoilledge.core.OrganisationId;
import org.trefoilledge.core.config.Organisation;

/**
 * One organisation at one borrower: its borrowed tokens, its demand and the shards to borrow from. Requests and the
 * control thread share it; its monitor guards all state, and critical sections are short.
 */
final class OrganisationLoans {
    /** Prefetching less than this many uses per loan would let most of the loans expire unused. */
    private static final double MIN_USES_PER_LOAN = 2;
    /** A batch covers this part of the loan time, so that it is used long before it expires. */
    private static final double BATCH_FRACTION_OF_LOAN = 0.25;
    /** How long the demand of the next moments must be covered while a loan request is under way. */
    private static final double LEAD_MILLIS = 30;
    /** All nodes together prefetch at most this part of the burst, so that the rest is left for bursts. */
    private static final double PREFETCHED_FRACTION_OF_BURST = 0.25;
    /** Settlements wait this long for a loan request to the same owner that can carry them. */
    private static final long SETTLE_DELAY_MILLIS = 30;
    /** A loan that expires within this time is given back, so that the owner hears of it in time. */
    private static final long RETURN_BEFORE_EXPIRY_MILLIS = 60;
    /** A loan is kept at least this long, because requests may still be waiting for it. */
    private static final long MIN_KEEP_MILLIS = 40;
    /** After this time an answer is late, and requests that wait are better served by other sources. */
    private static final long USUAL_RESPONSE_MILLIS = 8;

    /** A source of the own zone is preferred to others that have at most this fraction more. */
    private static final int OWN_ZONE_BONUS_DIVISOR = 4;
    /** Multiplier of a linear congruential generator modulo 2^64, which spreads the rounds over the shards. */
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

    /** Sets the sources, those of the own zone first. Sources that did not change keep their state. */
    synchronized void configure(List<LoanSource> wanted, int own, long start, Organisation limits) {
        boolean same = wanted.size() == sources.size();
        for (int i = 0; same && i < wanted.size(); i++) {
            same = wanted.get(i).hasSameShare(sources.get(i));
        }
        if (!same) {
            sources = List.copyOf(wanted);
        }
        ownZoneSources = own;
        scanSeed ^= start;
        ratePerMilli = limits.rate() / 1_000;
        burst = limits.burst();
    }

    /**
     * Takes a token.
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

    /** Adds the loan requests to send now, and returns whether the account needs further ticks. */
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

    /** Returns what must be held so that requests rarely find no token while a loan request is under way. */
    private long prefetchTarget(double perMilli) {
        if (perMilli * settings.loanMillis() < MIN_USES_PER_LOAN) {
            return 0;
        }
        double lead = perMilli * LEAD_MILLIS;
        return (long) ((lead + 2 * Math.sqrt(lead)) * MICROS_PER_TOKEN);
    }

    /** This node's part of what all nodes may prefetch, by its part of the rate; nothing if it is less than a token. */
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
     * The fullest sources come first: their refill would otherwise be lost when they are full. The scan starts
     * elsewhere each time, because nodes that need tokens at the same time would compete for the same shards.
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

    synchronized void handleGrant(LoanSource source, long askId, long wanted, LoanGrant grant, long sentAt, long now) {
        source.handleGrant(wanted, grant, now);
        if (grant.grantedMicros() > 0) {
            loans.add(new LoanPool.Loan(source, askId, grant.grantedMicros(), sentAt + settings.loanMillis()));
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
        void add(OrganisationLoans account, LoanSource source, long wanted);
    }
}
