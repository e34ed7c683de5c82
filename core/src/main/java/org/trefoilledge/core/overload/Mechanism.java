package org.trefoilledge.core.overload;

/** Mechanisms of a {@link Guard} that can be disabled individually. */
public enum Mechanism {
    /** Limits the running calls and queues the rest. Without it, every admitted call runs immediately. */
    CONCURRENCY_LIMIT,
    /** Adapts the limit to the measured latency. Without it, the limit is the announced number of slots. */
    ADAPTIVE_LIMIT,
    /** Raises the limit gradually after the first call. */
    COLD_START,
    /** Serves more important classes first. Without it, all calls share one queue. */
    IMPORTANCE,
    /** Serves the organisations of a class by weight. Without it, they share one flow and one admission level. */
    FAIRNESS,
    /** Serves the newest call first while there is a standing queue delay. */
    NEWEST_FIRST,
    /** Refuses calls whose remaining time is shorter than the measured service time. */
    DEADLINES,
    /** Computes the admission level and refuses calls below it. */
    ADMISSION_LEVEL
}
