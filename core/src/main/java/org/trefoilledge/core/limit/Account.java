package org.trefoilledge.core.limit;

import java.util.List;
import org.trefoilledge.core.OrganisationId;
import org.trefoilledge.core.config.Organisation;

/**
 * One organisation at one borrower: its borrowed tokens, its demand and the shards to borrow from. Requests and the
 * control thread share it; its monitor guards all state, and critical sections are short.
 */
final class Account {
    /** Prefetching less than this many uses per loan would let most of the loans expire unused. */
    private static final double LEAST_USES_PER_LOAN = 2;
    /** A batch covers this part of the loan time, so that it is used long before it expires. */
    private static final double BATCH_PART_OF_LOAN = 0.25;
    /** How long the demand of the next moments must be covered while a loan request is under way. */
    private static final double LEAD_MILLIS = 30;
    /** All nodes together prefetch at most this part of the burst, so that the rest is left for bursts. */
    private static final double PREFETCHED_PART_OF_BURST = 0.25;
    /** Settlements wait this long for a loan request to the same owner that can carry them. */
    private static final long SETTLE_DELAY_MILLIS = 30;
    /** A loan that expires within this time is given back, so that the owner hears of it in time. */
    private static final long GIVE_BACK_MILLIS = 60;
    /** A loan is kept at least this long, because requests may still be waiting for it. */
    private static final long KEEP_MILLIS = 40;
    /** After this time an answer is late, and requests that wait are better served by other sources. */
    private static final long USUAL_ANSWER_MILLIS = 8;
    /** How long a source that did not answer is left alone. */
    private static final long FAILED_BACKOFF_MILLIS = 500;

    /** A source of the own zone is preferred to others that have at most this fraction more. */
    private static final int OWN_ZONE_ADVANTAGE = 4;
    /** Multiplier of a linear congruential generator modulo 2^64, which spreads the rounds over the shards. */
    private static final long LEAP = 6364136223846793005L;

    private static final long TOKEN = ShareMap.TOKEN_MICROS;

    final OrganisationId organisation;
    private final LimitSettings settings;
    private final LoanPurse purse = new LoanPurse();
    private final DemandMeter demand = new DemandMeter();
    private final WaitingCount waiting;
    private List<LoanSource> sources = List.of();
    private long round;
    private int ownCount;
    private double ratePerMilli;
    private double burst;
    private long requests;
    private long tickedAt;
    private long latest;
    private boolean active;

    Account(OrganisationId organisation, LimitSettings settings, long now) {
        this.organisation = organisation;
        this.settings = settings;
        waiting = new WaitingCount(settings.waitMillis());
        tickedAt = now;
        latest = now;
    }

    /** Sets the sources, those of the own zone first. Sources that did not change keep their state. */
    synchronized void configure(List<LoanSource> wanted, int own, long start, Organisation limits) {
        boolean same = wanted.size() == sources.size();
        for (int i = 0; same && i < wanted.size(); i++) {
            same = wanted.get(i).sameAs(sources.get(i));
        }
        if (!same) {
            sources = List.copyOf(wanted);
        }
        ownCount = own;
        round ^= start;
        ratePerMilli = limits.rate() / 1_000;
        burst = limits.burst();
    }

    /**
     * Takes a token.
     *
     * @param repeated whether the request found no token before and has waited since
     */
    synchronized Take take(boolean repeated, long now) {
        latest = Math.max(latest, now);
        if (!repeated) {
            requests++;
        }
        boolean taken = purse.take(latest);
        if (taken && repeated) {
            waiting.served();
        } else if (!taken && !repeated) {
            waiting.add(latest);
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
    synchronized boolean tick(long now, AskSink sink) {
        latest = Math.max(latest, now);
        long elapsed = latest - tickedAt;
        demand.record(requests, elapsed);
        if (elapsed > 0) {
            requests = 0;
            tickedAt = latest;
        }
        double perMilli = Math.min(demand.perMilli(), ratePerMilli);
        long urgent = waiting.count(latest) * TOKEN;
        long most = mostPrefetched(perMilli);
        long low = urgent + Math.min(most, prefetched(perMilli));
        long batch = low > urgent ? Math.min(urgent + most - low, batch(perMilli)) : 0;
        purse.giveBack(low + batch, latest + GIVE_BACK_MILLIS, latest + settings.loanMillis() - KEEP_MILLIS, latest);
        long held = purse.balance(latest) + underWay();
        if (held < low) {
            borrow(low + batch - held, sink);
        }
        boolean settling = settle(sink);
        active = !demand.idle() || purse.balance(latest) > 0 || settling;
        return active;
    }

    /** Returns what must be held so that requests rarely find no token while a loan request is under way. */
    private long prefetched(double perMilli) {
        if (perMilli * settings.loanMillis() < LEAST_USES_PER_LOAN) {
            return 0;
        }
        double lead = perMilli * LEAD_MILLIS;
        return (long) ((lead + 2 * Math.sqrt(lead)) * TOKEN);
    }

    /** This node's part of what all nodes may prefetch, by its part of the rate; nothing if it is less than a token. */
    private long mostPrefetched(double perMilli) {
        double tokens = PREFETCHED_PART_OF_BURST * burst * perMilli / ratePerMilli;
        return (long) Math.floor(tokens) * TOKEN;
    }

    private long batch(double perMilli) {
        return (long) Math.ceil(perMilli * settings.loanMillis() * BATCH_PART_OF_LOAN) * TOKEN;
    }

    private boolean settle(AskSink sink) {
        boolean waits = false;
        for (LoanSource source : sources) {
            if (source.hasSettled(SETTLE_DELAY_MILLIS, latest)) {
                sink.ask(this, source, 0);
            }
            waits |= source.hasSettled(0, latest) || source.waitsForAnswer();
        }
        return waits;
    }

    private long underWay() {
        long sum = 0;
        for (LoanSource source : sources) {
            sum += source.underWay(USUAL_ANSWER_MILLIS, latest);
        }
        return sum;
    }

    /**
     * The fullest sources come first: their refill would otherwise be lost when they are full. The scan starts
     * elsewhere each time, because nodes that need tokens at the same time would compete for the same shards.
     */
    private void borrow(long missing, AskSink sink) {
        long left = missing;
        int count = sources.size();
        round = LEAP * round + 1;
        int start = count == 0 ? 0 : (int) Math.floorMod(round >>> 33, count);
        for (int i = 0; i < count && left > 0; i++) {
            LoanSource source = fullest(start, count);
            long wanted = source == null ? 0 : wanted(left, source.expected(latest));
            if (wanted == 0) {
                return;
            }
            source.asked(wanted, latest);
            sink.ask(this, source, wanted);
            left -= wanted;
        }
    }

    private LoanSource fullest(int start, int count) {
        LoanSource fullest = null;
        long most = 0;
        for (int i = 0; i < count; i++) {
            int index = (start + i) % count;
            LoanSource source = sources.get(index);
            if (!source.available(latest)) {
                continue;
            }
            long expected = source.expected(latest);
            long score = index < ownCount ? expected + expected / OWN_ZONE_ADVANTAGE : expected;
            if (score > most) {
                fullest = source;
                most = score;
            }
        }
        return fullest;
    }

    private static long wanted(long left, long expected) {
        long wanted = Math.min(left, expected);
        return wanted >= ShareMap.LEAST_LOAN_MICROS ? wanted : 0;
    }

    synchronized void answered(LoanSource source, long askId, long wanted, LoanGrant grant, long sentAt, long now) {
        source.answered(wanted, grant, now);
        if (grant.grantedMicros() > 0) {
            purse.add(new LoanPurse.Loan(source, askId, grant.grantedMicros(), sentAt + settings.loanMillis()));
        }
    }

    synchronized void failed(LoanSource source, long now) {
        source.failed(FAILED_BACKOFF_MILLIS, now);
    }

    /** Returns the time in which one token accrues at the configured rate, in milliseconds. */
    synchronized long tokenMillis() {
        return ratePerMilli > 0 ? (long) Math.ceil(1 / ratePerMilli) : Long.MAX_VALUE;
    }

    /** Receives the loan requests of one tick. */
    interface AskSink {
        void ask(Account account, LoanSource source, long wanted);
    }
}
