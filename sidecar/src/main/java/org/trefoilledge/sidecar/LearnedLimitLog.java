package org.trefoilledge.sidecar;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Shows the learned limit of the upstream to operators: as gauges, and as a log line for each change by a quarter or
 * more. Updated by the traffic thread with each sample of the load, which bounds the lines; read by any thread.
 */
final class LearnedLimitLog {
    private static final Logger LOG = LoggerFactory.getLogger(LearnedLimitLog.class);
    /** Relative change of the limit from which it is logged. */
    private static final double LOGGED_CHANGE = 0.25;

    private int loggedLimit;
    private volatile int limit;
    private volatile int slots;
    private volatile double relativeSpeed = 1;

    void update(int newLimit, int newSlots, double newRelativeSpeed) {
        if (newSlots != slots) {
            loggedLimit = newSlots;
        }
        limit = newLimit;
        slots = newSlots;
        relativeSpeed = newRelativeSpeed;
        if (Math.abs(newLimit - loggedLimit) >= LOGGED_CHANGE * loggedLimit) {
            LOG.info(
                    "upstream: the learned limit is {} of {} slots, before {}; calls near it run at {}% of the speed at"
                            + " low concurrency",
                    newLimit, newSlots, loggedLimit, Math.round(100 * newRelativeSpeed));
            loggedLimit = newLimit;
        }
    }

    int limit() {
        return limit;
    }

    int slots() {
        return slots;
    }

    double relativeSpeed() {
        return relativeSpeed;
    }

    /** Registers the gauges. */
    void register(SidecarMetrics metrics) {
        metrics.registerGauge(
                "trefoilledge.upstream.limit", "Learned limit of concurrent calls to the upstream", this::limit);
        metrics.registerGauge("trefoilledge.upstream.slots", "Slots that the upstream announced", this::slots);
        metrics.registerGauge(
                "trefoilledge.upstream.speed",
                "Speed of the upstream near its limit, relative to its speed at low concurrency",
                this::relativeSpeed);
    }
}
