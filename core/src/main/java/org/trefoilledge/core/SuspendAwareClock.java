package org.trefoilledge.core;

/**
 * A monotonic clock that includes the time for which the machine was suspended. The underlying monotonic clock stops
 * during a suspension and the wall clock does not, so a forward jump of the wall clock relative to the monotonic clock
 * is added. Setting the wall clock forward has the same effect as a suspension: leases measured with this clock then
 * expire early, never late. Thread-safe.
 */
public final class SuspendAwareClock implements Clock {
    /** Change of the offset between the clocks that is attributed to rounding and clock adjustment. */
    private static final long TOLERANCE_MILLIS = 100;

    private final Clock monotonic;
    private final Clock wallClock;
    private long wallClockOffset;
    private long suspendedMillis;

    /** Creates a clock that starts at the current reading of the monotonic clock. */
    public SuspendAwareClock(Clock monotonic, Clock wallClock) {
        this.monotonic = monotonic;
        this.wallClock = wallClock;
        wallClockOffset = wallClock.millis() - monotonic.millis();
    }

    @Override
    public synchronized long millis() {
        long monotonicNow = monotonic.millis();
        long currentOffset = wallClock.millis() - monotonicNow;
        long jump = currentOffset - wallClockOffset;
        if (Math.abs(jump) > TOLERANCE_MILLIS) {
            suspendedMillis += Math.max(0, jump);
            wallClockOffset = currentOffset;
        }
        return monotonicNow + suspendedMillis;
    }
}
