package org.trefoilledge.core.admission;

/**
 * Decides at which ticks a node reports its load. While nothing presses, every second tick is enough, because each report
 * wakes two nodes several times. Not thread-safe.
 */
public final class ReportPace {
    private boolean skipped;

    /**
     * Returns whether to report at this tick.
     *
     * @param pressing whether calls wait here or find no upstream, or many more requests arrive than before
     * @param limiting whether the plan in force refuses requests
     */
    public boolean due(boolean pressing, boolean limiting) {
        skipped = !skipped && !pressing && !limiting;
        return !skipped;
    }
}
