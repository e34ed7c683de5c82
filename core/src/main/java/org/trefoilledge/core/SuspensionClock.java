package org.trefoilledge.core;

/**
 * The steady clock with the time added for which the machine was suspended, in which the steady clock stands still and
 * the time of day goes on. A time of day that is set forward looks like a suspension: what the reader holds under a lease
 * ends early, never late. Thread-safe.
 */
public final class SuspensionClock implements Clock {
    /** Difference between the clocks that rounding and adjustment explain. */
    private static final long TOLERANCE_MILLIS = 100;

    private final Clock steady;
    private final Clock timeOfDay;
    private long difference;
    private long suspendedMillis;

    /** Creates a clock that starts at the reading of the steady one. */
    public SuspensionClock(Clock steady, Clock timeOfDay) {
        this.steady = steady;
        this.timeOfDay = timeOfDay;
        difference = timeOfDay.millis() - steady.millis();
    }

    @Override
    public synchronized long millis() {
        long steadyNow = steady.millis();
        long differenceNow = timeOfDay.millis() - steadyNow;
        long ahead = differenceNow - difference;
        if (Math.abs(ahead) > TOLERANCE_MILLIS) {
            suspendedMillis += Math.max(0, ahead);
            difference = differenceNow;
        }
        return steadyNow + suspendedMillis;
    }
}
