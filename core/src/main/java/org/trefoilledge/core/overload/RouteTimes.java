package org.trefoilledge.core.overload;

import java.util.HashMap;
import java.util.Map;
import org.trefoilledge.core.RouteId;

/**
 * The service times of one upstream by route. Routes that share an upstream can differ by an order of magnitude, so a
 * common average says nothing about a single call.
 */
final class RouteTimes {
    /** Weights of a shorter and of a longer latency in the moving average: a recovered upstream is used again soon. */
    private static final double SHORTER_WEIGHT = 0.1;

    private static final double LONGER_WEIGHT = 0.05;

    private final Map<RouteId, Entry> entries = new HashMap<>();

    private static final class Entry {
        private int running;
        /** Moving average of the latency in milliseconds, 0 before the first sample. */
        private double meanMillis;
    }

    void recordStart(RouteId route) {
        entries.computeIfAbsent(route, r -> new Entry()).running++;
    }

    /**
     * Records the end of a call. The latency of a failed or cancelled call is only a lower bound of the service time, so
     * it is ignored unless it is at least the average.
     */
    void recordEnd(RouteId route, double latencyMillis, boolean succeeded) {
        Entry entry = entries.get(route);
        entry.running--;
        if (!succeeded && latencyMillis < entry.meanMillis) {
            return;
        }
        double weight = latencyMillis < entry.meanMillis ? SHORTER_WEIGHT : LONGER_WEIGHT;
        entry.meanMillis =
                entry.meanMillis == 0 ? latencyMillis : entry.meanMillis + (latencyMillis - entry.meanMillis) * weight;
    }

    /**
     * Returns whether a call of the route usually takes longer than the given time. False while no call of the route runs,
     * because only calls that run update the average.
     */
    boolean usuallyExceeds(RouteId route, long millis) {
        Entry entry = entries.get(route);
        return entry != null && entry.running > 0 && millis < entry.meanMillis;
    }
}
