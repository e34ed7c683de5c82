package org.trefoilledge.core.admission;

/**
 * Decides at which ticks a node reports its load. Without overload, a node reports at every second tick only, because
 * each report wakes two nodes several times. Not thread-safe.
 */
public final class ReportThrottle {
    private boolean lastTickSkipped;

    /**
     * Returns whether to report at this tick. Must be called once per tick.
     *
     * @param underPressure whether calls wait here or find no upstream, or the arrival rate has risen sharply
     * @param planRefuses whether the current admission plan refuses requests
     */
    public boolean shouldReport(boolean underPressure, boolean planRefuses) {
        lastTickSkipped = !lastTickSkipped && !underPressure && !planRefuses;
        return !lastTickSkipped;
    }
}
