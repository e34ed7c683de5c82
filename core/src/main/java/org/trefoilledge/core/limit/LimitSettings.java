package org.trefoilledge.core.limit;

/**
 * Settings of the fleet-wide limits. They must be equal on all nodes of a deployment.
 *
 * @param loanMillis how long a borrower may spend a loan, from the time it sent the request
 * @param increaseDelayMillis how long an increased share waits before it takes effect; at least the time in which a
 *     configuration reaches every node
 * @param waitMillis how long a request without a token may wait for a loan
 * @param borrowFromOtherZones whether a node borrows from other zones; if not, only the shares of its own zone serve it
 */
public record LimitSettings(long loanMillis, long increaseDelayMillis, long waitMillis, boolean borrowFromOtherZones) {
    /** The default settings, from section 8 of the design. */
    public static final LimitSettings DEFAULT = new LimitSettings(400, 20_000, 25, true);

    /**
     * Borrowers and owners read their clocks in whole milliseconds, so an owner may date a grant up to 1 ms early. The
     * margin of a tenth of the loan time must cover that.
     */
    private static final long MIN_LOAN_MILLIS = 20;

    /** Checks the ranges. */
    public LimitSettings {
        if (loanMillis < MIN_LOAN_MILLIS) {
            throw new IllegalArgumentException(
                    "loanMillis must be at least " + MIN_LOAN_MILLIS + ", but was: " + loanMillis);
        }
        if (increaseDelayMillis < 0) {
            throw new IllegalArgumentException("increaseDelayMillis must not be negative: " + increaseDelayMillis);
        }
        if (waitMillis < 0) {
            throw new IllegalArgumentException("waitMillis must not be negative: " + waitMillis);
        }
    }

    /** Returns how long an owner counts a loan as spendable, from the grant: the loan time and a tenth more. */
    long holdMillis() {
        return loanMillis + (loanMillis + 9) / 10;
    }
}
