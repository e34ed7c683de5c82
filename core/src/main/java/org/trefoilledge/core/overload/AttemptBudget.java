package org.trefoilledge.core.overload;

/**
 * The extra attempts that one call may still use at this hop. Parts are moved to child calls and back, never copied,
 * so the executions of a call tree are bounded by its size plus the budget of the root. Thread-safe.
 */
public final class AttemptBudget {
    private int remaining;

    /** Creates a budget with the given number of extra attempts. */
    public AttemptBudget(int attempts) {
        checkNotNegative(attempts);
        this.remaining = attempts;
    }

    /** Returns the part of a budget that goes to the next hop: half, rounded down. */
    public static int childShare(int budget) {
        checkNotNegative(budget);
        return budget / 2;
    }

    /** Moves part of the budget to a child call and returns that part. */
    public synchronized int takeChildShare() {
        int part = childShare(remaining);
        remaining -= part;
        return part;
    }

    /** Takes back what a child call did not use. */
    public synchronized void returnUnused(int unused) {
        checkNotNegative(unused);
        remaining += unused;
    }

    /** Takes one extra attempt; returns false when the budget is spent. */
    public synchronized boolean tryAcquire() {
        if (remaining == 0) {
            return false;
        }
        remaining--;
        return true;
    }

    /** Returns what is left and empties the budget, for the response to the caller of this hop. */
    public synchronized int close() {
        int unused = remaining;
        remaining = 0;
        return unused;
    }

    /** Returns the attempts that are left. */
    public synchronized int remaining() {
        return remaining;
    }

    private static void checkNotNegative(int attempts) {
        if (attempts < 0) {
            throw new IllegalArgumentException("attempts must not be negative, but was: " + attempts);
        }
    }
}
