package org.trefoilledge.core.limit;

import java.util.List;
import org.trefoilledge.core.OrganisationId;

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
    /** How long a source that did not answer is left alone. */
    private static final long FAILED_BACKOFF_MILLIS = 500;

    private static final long TOKEN = ShareMap.TOKEN_MICROS;

    final OrganisationId organisation;
    private final LimitSettings settings;
    private final LoanPurse purse = new LoanPurse();
    private final DemandMeter demand = new DemandMeter();
    private final WaitingCount waiting;
    private List<LoanSource> sources = List.of();
    private int firstOwn;
    private int ownCount;
    private double ratePerMilli;
    private long requests;
    private long expectedMicros;
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
    synchronized void configure(List<LoanSource> wanted, int own, int start, double rate) {
        boolean same = wanted.size() == sources.size();
        for (int i = 0; same && i < wanted.size(); i++) {
            same = wanted.get(i).sameAs(sources.get(i));
        }
        if (!same) {
            sources = List.copyOf(wanted);
            expectedMicros = 0;
        }
        ownCount = own;
        firstOwn = start;
        ratePerMilli = rate / 1_000;
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
        long missing = missing();
        if (missing > 0) {
            borrow(missing, sink);
        }
        active = !demand.idle() || expectedMicros > 0 || purse.balance(latest) > 0;
        return active;
    }

    private long missing() {
        long held = purse.balance(latest) + expectedMicros;
        long urgent = waiting.count(latest) * TOKEN;
        double perMilli = Math.min(demand.perMilli(), ratePerMilli);
        double usesPerLoan = perMilli * settings.loanMillis();
        if (usesPerLoan < LEAST_USES_PER_LOAN) {
            return urgent - held;
        }
        double lead = perMilli * LEAD_MILLIS;
        long low = urgent + (long) ((lead + 2 * Math.sqrt(lead)) * TOKEN);
        if (held >= low) {
            return 0;
        }
        long batch = (long) Math.ceil(usesPerLoan * BATCH_PART_OF_LOAN) * TOKEN;
        return low + batch - held;
    }

    private void borrow(long missing, AskSink sink) {
        long left = missing;
        int count = sources.size();
        for (int i = 0; i < count && left > 0; i++) {
            LoanSource source = sources.get(index(i, count));
            long expected = source.available(latest) ? source.expected(latest) : 0;
            long wanted = wanted(left, expected);
            if (wanted == 0) {
                continue;
            }
            source.asked();
            sink.ask(this, source, wanted);
            expectedMicros += wanted;
            left -= wanted;
        }
    }

    /** Own zone first; within it and within the others the nodes start at different sources. */
    private int index(int i, int count) {
        if (i < ownCount) {
            return (firstOwn + i) % ownCount;
        }
        int others = count - ownCount;
        return ownCount + (firstOwn + i - ownCount) % others;
    }

    private static long wanted(long left, long expected) {
        long whole = (left + TOKEN - 1) / TOKEN * TOKEN;
        if (expected >= whole) {
            return whole;
        }
        return expected >= TOKEN ? expected / TOKEN * TOKEN : 0;
    }

    synchronized void answered(LoanSource source, long wanted, LoanGrant grant, long sentAt, long now) {
        source.answered(wanted, grant, now);
        expectedMicros = Math.max(0, expectedMicros - wanted);
        if (grant.grantedMicros() > 0) {
            purse.add(grant.grantedMicros(), sentAt + settings.loanMillis());
        }
    }

    synchronized void failed(LoanSource source, long wanted, long now) {
        source.failed(FAILED_BACKOFF_MILLIS, now);
        expectedMicros = Math.max(0, expectedMicros - wanted);
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
