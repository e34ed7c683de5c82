package org.trefoilledge.core.limit;

import java.util.ArrayDeque;

/**
 * One organisation's bucket at one shard. Tokens in the bucket and tokens lent within the hold time never exceed the
 * share of the burst.
 */
final class ShardBucket {
    private static final long MILLIS_PER_SECOND = 1_000;
    /** Beyond this gap the product of rate and time could overflow, so it is computed in floating point. */
    private static final long EXACT_GAP_MILLIS = 60_000;

    private record Loan(long micros, long heldUntil) {}

    private final ArrayDeque<Loan> loans = new ArrayDeque<>();
    private long level;
    private long lent;
    private long remainder;
    private long refilledAt;

    /** Creates an empty bucket that fills from the given time on. */
    ShardBucket(long emptyAt) {
        refilledAt = emptyAt;
    }

    /** Deducts up to the wanted amount and counts it as lent for the hold time. */
    LoanGrant lend(long wanted, long rate, long burst, long hold, long now) {
        advance(rate, burst, now);
        long granted = Math.min(wanted, level);
        if (granted < wanted && wanted % ShareMap.TOKEN_MICROS == 0) {
            granted -= granted % ShareMap.TOKEN_MICROS;
        }
        if (granted > 0) {
            level -= granted;
            lent += granted;
            loans.addLast(new Loan(granted, now + hold));
        }
        return new LoanGrant(granted, granted < wanted ? retryAfter(wanted - granted, rate, burst, hold, now) : 0);
    }

    /** Refills up to the given time and releases loans that no borrower can spend any more. */
    void advance(long rate, long burst, long now) {
        refill(rate, now);
        while (!loans.isEmpty() && now - loans.peekFirst().heldUntil() >= 0) {
            lent -= loans.pollFirst().micros();
        }
        level = Math.max(0, Math.min(level, burst - lent));
    }

    private void refill(long rate, long now) {
        long elapsed = now - refilledAt;
        if (elapsed <= 0) {
            return;
        }
        refilledAt = now;
        if (elapsed > EXACT_GAP_MILLIS) {
            level += (long) Math.min((double) rate * elapsed / MILLIS_PER_SECOND, Long.MAX_VALUE / 4.0);
            return;
        }
        long gained = rate * elapsed + remainder;
        level += gained / MILLIS_PER_SECOND;
        remainder = gained % MILLIS_PER_SECOND;
    }

    private long retryAfter(long missing, long rate, long burst, long hold, long now) {
        long useful = Math.min(missing, Math.max(Math.min(ShareMap.TOKEN_MICROS, burst), burst / 4));
        long lacking = Math.max(0, useful - level);
        long filling = rate == 0 ? hold : Math.min(hold, lacking * MILLIS_PER_SECOND / rate + 1);
        boolean depthIsLent = burst - lent < useful;
        long release = depthIsLent && !loans.isEmpty() ? loans.peekFirst().heldUntil() - now : 0;
        return Math.max(1, Math.max(filling, release));
    }
}
