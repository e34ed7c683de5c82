package org.trefoilledge.load;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.trefoilledge.core.Importance;

/**
 * Statistics of the root requests whose intended send time lies in one phase.
 *
 * @param wholePerSecond whole answers that arrived in the phase, per second
 * @param countsByImportance sent and whole by importance
 */
record PhaseStatistics(
        Phase phase,
        long sent,
        long whole,
        double wholePerSecond,
        double p50Millis,
        double p99Millis,
        Map<Importance, long[]> countsByImportance) {
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double MICROS_PER_MILLI = 1_000;

    static PhaseStatistics of(Phase phase, List<RootRequest> roots) {
        Histogram latencies = new Histogram(SIGNIFICANT_DIGITS);
        Map<Importance, long[]> counts = new EnumMap<>(Importance.class);
        long sent = 0;
        long whole = 0;
        long arrived = 0;
        for (RootRequest root : roots) {
            arrived += root.whole() && phase.contains(root.endSeconds()) ? 1 : 0;
            if (!phase.contains(root.intendedSeconds())) {
                continue;
            }
            long[] count = counts.computeIfAbsent(root.importance(), i -> new long[2]);
            sent++;
            count[0]++;
            if (root.whole()) {
                whole++;
                count[1]++;
                latencies.recordValue(Math.max(0, root.latencyMicros()));
            }
        }
        double seconds = phase.toSeconds() - phase.fromSeconds();
        return new PhaseStatistics(
                phase,
                sent,
                whole,
                arrived / seconds,
                latencies.getValueAtPercentile(50) / MICROS_PER_MILLI,
                latencies.getValueAtPercentile(99) / MICROS_PER_MILLI,
                counts);
    }

    double wholeShare() {
        return sent == 0 ? 0 : whole / (double) sent;
    }

    double wholeShare(Importance importance) {
        long[] count = countsByImportance.get(importance);
        return count == null || count[0] == 0 ? 0 : count[1] / (double) count[0];
    }
}
