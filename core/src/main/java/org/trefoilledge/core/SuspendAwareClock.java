package org.trefoilledge.core;

/**
 * The steady clock with the time added for which the machine was suspended, in which the steady clock stands still and
 * the time of day goes on. A time of day that is set forward looks like a suspension: what the reader holds under a lease
 * ends early, never late. Thread-safe.
 */
public final class SuspendAwareClock implements Clock {
    /** Difference between the clocks that rounding and adjustment explain. */
    private static final long TOLERANCE_MILLIS = 100;

    private final Clock monotonic;
    private final Clock wallClock;
    private long wallClockOffset;
    private long suspendedMillis;

    /** Creates a clock that starts at the reading of the steady one. */
    public SuspendAwareClock(Clock steady, Clock timeOfDay) {
        this.monotonic = steady;
        this.wallClock = timeOfDay;
        wallClockOffset = timeOfDay.millis() - steady.millis();
    }

    @Override
    public synchronized long millis() {
        long steadyNow = monotonic.millis();
        long differenceNow = wallClock.millis() - steadyNow;
        long ahead = differenceNow - wallClockOffset;
        if (Math.abs(ahead) > TOLERANCE_MILLIS) {
            suspendedMillis += Math.max(0, ahead);
            wallClockOffset = differenceNow;
        }
        return steadyNow + suspendedMillis;
    }
}
