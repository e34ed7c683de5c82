package org.trefoilledge.core.overload;

/** The parts of a {@link Guard} that can be switched off for measurement. */
public enum Mechanism {
    /** Bounds the running calls and queues the rest. Without it every call that is not refused runs at once. */
    CONCURRENCY_LIMIT,
    /** Adapts the limit to measured latency. Without it the limit is the announced number of slots. */
    ADAPTIVE_LIMIT,
    /** Raises the limit gradually after the start. */
    COLD_START,
    /** Serves more important classes first. Without it all calls share one class. */
    IMPORTANCE,
    /** Divides a class among organisations by weight. Without it a class is one queue. */
    FAIRNESS,
    /** Serves the newest call first while the queue delay stays over its target. */
    NEWEST_FIRST,
    /** Refuses calls whose remaining time is below the usual service time. */
    DEADLINES,
    /** Computes the admission level and refuses calls below it. */
    ADMISSION_LEVEL
}
