package org.trefoilledge.core.limit;

/**
 * A share whose increase takes effect after a delay and whose reduction takes effect at once, so that the shares of all
 * owners never sum up to more than the limit while their configurations differ.
 */
final class DelayedShare {
    private long current;
    private long pending;
    private long pendingAt;

    DelayedShare(long initial) {
        current = initial;
        pending = initial;
    }

    /** Sets the configured value; an increase is in force {@code delay} ms after {@code now}. */
    void set(long value, long now, long delay) {
        advance(now);
        if (value == pending) {
            return;
        }
        pending = value;
        pendingAt = now + delay;
        current = Math.min(current, value);
    }

    /** Returns the value in force. */
    long valueAt(long now) {
        advance(now);
        return current;
    }

    private void advance(long now) {
        if (current != pending && now - pendingAt >= 0) {
            current = pending;
        }
    }
}
