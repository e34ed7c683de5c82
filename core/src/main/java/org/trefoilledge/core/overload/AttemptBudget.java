package org.trefoilledge.core.overload;

/**
 * The extra attempts that one call may still use at this hop. Parts are moved to child calls and back, never copied,
 * so the executions of a call tree are bounded by its size plus the budget of the root. Thread-safe.
 */
public final class AttemptBudget {
    private int left;

    /** Creates a budget with the given number of extra attempts. */
    public AttemptBudget(int attempts) {
        checkNotNegative(attempts);
        this.left = attempts;
    }

    /** Returns the part of a budget that goes to the next hop: half, rounded down. */
    public static int passedOn(int budget) {
        checkNotNegative(budget);
        return budget / 2;
    }

    /** Moves part of the budget to a child call and returns that part. */
    public synchronized int passOn() {
        int part = passedOn(left);
        left -= part;
        return part;
    }

    /** Takes back what a child call did not use. */
    public synchronized void giveBack(int unused) {
        checkNotNegative(unused);
        left += unused;
    }

    /** Takes one extra attempt; returns false when the budget is spent. */
    public synchronized boolean tryAttempt() {
        if (left == 0) {
            return false;
        }
        left--;
        return true;
    }

    /** Returns what is left and empties the budget, for the response to the caller of this hop. */
    public synchronized int close() {
        int unused = left;
        left = 0;
        return unused;
    }

    /** Returns the attempts that are left. */
    public synchronized int left() {
        return left;
    }

    private static void checkNotNegative(int attempts) {
        if (attempts < 0) {
            throw new IllegalArgumentException("attempts must not be negative, but was: " + attempts);
        }
    }
}
