package org.trefoilledge.core.overload;

/**
 * The retry budget of one call at this hop. Attempts are moved to child calls and back and never copied, so the number
 * of executions in a call tree is bounded by the size of the tree plus the budget of the root. Thread-safe.
 */
public final class AttemptBudget {
    private int remaining;

    /** Creates a budget with the given number of retries. */
    public AttemptBudget(int attempts) {
        checkNotNegative(attempts);
        this.remaining = attempts;
    }

    /** Returns the share of a budget that is passed to a child call: half, rounded down. */
    public static int childShare(int budget) {
        checkNotNegative(budget);
        return budget / 2;
    }

    /** Removes the share of a child call from this budget and returns it. */
    public synchronized int takeChildShare() {
        int share = childShare(remaining);
        remaining -= share;
        return share;
    }

    /** Adds the attempts that a child call did not use. */
    public synchronized void returnUnused(int unused) {
        checkNotNegative(unused);
        remaining += unused;
    }

    /** Consumes one attempt; returns false if the budget is spent. */
    public synchronized boolean tryAcquire() {
        if (remaining == 0) {
            return false;
        }
        remaining--;
        return true;
    }

    /** Empties the budget and returns the unused attempts, which are sent back to the caller of this hop. */
    public synchronized int close() {
        int unused = remaining;
        remaining = 0;
        return unused;
    }

    /** Returns the number of remaining attempts. */
    public synchronized int remaining() {
        return remaining;
    }

    private static void checkNotNegative(int attempts) {
        if (attempts < 0) {
            throw new IllegalArgumentException("attempts must not be negative, but was: " + attempts);
        }
    }
}
