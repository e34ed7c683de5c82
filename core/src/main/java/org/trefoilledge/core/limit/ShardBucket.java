package org.trefoilledge.core.limit;

import java.util.Iterator;
import java.util.LinkedHashMap;

/**
 * One organisation's bucket at one shard. Tokens in the bucket and tokens lent within the hold time never exceed the
 * share of the burst.
 */
final class ShardBucket {
    private static final long MILLIS_PER_SECOND = 1_000;
    /** Beyond this gap the product of rate and time could overflow, so it is computed in floating point. */
    private static final long MAX_EXACT_REFILL_MILLIS = 60_000;

    private record LoanKey(BorrowerId borrower, long loanId) {}

    private record Loan(long micros, long heldUntil) {}

    /** Loans in the order of grant, which is also the order of expiry. */
    private final LinkedHashMap<LoanKey, Loan> loans = new LinkedHashMap<>();

    private long rate;
    private long burst;
    private long level;
    private long lent;
    private long remainder;
    private long refilledAt;

    /** Creates an empty bucket that fills from the given time on. */
    ShardBucket(long emptyAt) {
        refilledAt = emptyAt;
    }

    /** Deducts up to the wanted amount and counts it as lent for the hold time. Call {@link #advance} first. */
    LoanGrant lend(BorrowerId borrower, long loanId, long wanted, long hold, long now) {
        LoanKey key = new LoanKey(borrower, loanId);
        if (wanted == 0 || loans.containsKey(key)) {
            return new LoanGrant(0, 0);
        }
        long granted = Math.min(wanted, level);
        if (granted < Math.min(wanted, LimitShares.MIN_LOAN_MICROS)) {
            granted = 0;
        }
        if (granted > 0) {
            level -= granted;
            lent += granted;
            loans.put(key, new Loan(granted, now + hold));
        }
        return new LoanGrant(granted, granted < wanted ? retryAfterMillis(wanted - granted, hold) : 0);
    }

    /**
     * Ends a loan early: spent tokens no longer occupy depth, unused ones return to the bucket. A
     * settlement of an expired or already settled loan has no effect.
     */
    void settle(BorrowerId borrower, LoanSettlement settlement) {
        Loan loan = loans.remove(new LoanKey(borrower, settlement.loanId()));
        if (loan != null) {
            lent -= loan.micros();
            long unused = Math.max(0, Math.min(settlement.unusedMicros(), loan.micros()));
            level = Math.max(0, Math.min(level + unused, burst - lent));
        }
    }

    /** Refills up to the given time and releases loans that no borrower can spend any more. */
    void advance(long currentRate, long currentBurst, long now) {
        rate = currentRate;
        burst = currentBurst;
        refill(now);
        Iterator<Loan> oldest = loans.values().iterator();
        while (oldest.hasNext()) {
            Loan loan = oldest.next();
            if (now < loan.heldUntil()) {
                break;
            }
            lent -= loan.micros();
            oldest.remove();
        }
        level = Math.max(0, Math.min(level, burst - lent));
    }

    private void refill(long now) {
        long elapsed = now - refilledAt;
        if (elapsed <= 0) {
            return;
        }
        refilledAt = now;
        if (elapsed > MAX_EXACT_REFILL_MILLIS) {
            level += (long) Math.min((double) rate * elapsed / MILLIS_PER_SECOND, Long.MAX_VALUE / 4.0);
            return;
        }
        long gained = rate * elapsed + remainder;
        level += gained / MILLIS_PER_SECOND;
        remainder = gained % MILLIS_PER_SECOND;
    }

    private long retryAfterMillis(long missing, long hold) {
        long useful = Math.min(missing, Math.max(Math.min(LimitShares.MICROS_PER_TOKEN, burst), burst / 16));
        long lacking = Math.max(0, useful - level);
        return Math.max(1, rate == 0 ? hold : Math.min(hold, lacking * MILLIS_PER_SECOND / rate + 1));
    }
}
