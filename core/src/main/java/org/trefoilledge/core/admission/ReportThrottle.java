package org.trefoilledge.core.admission;

/**
 * Decides at which ticks a node reports its load. While nothing presses, every second tick is enough, because each report
 * wakes two nodes several times. Not thread-safe.
 */
public final class ReportThrottle {
    private boolean lastTickSkipped;

    /**
     * Returns whether to report at this tick.
     *
     * @param pressing whether calls wait here or find no upstream, or many more requests arrive than before
     * @param limiting whether the plan in force refuses requests
     */
    public boolean shouldReport(boolean pressing, boolean limiting) {
        lastTickSkipped = !lastTickSkipped && !pressing && !limiting;
        return !lastTickSkipped;
    }
}
