package org.trefoilledge.core;

/** A monotonic clock in milliseconds. Its zero point is arbitrary; only differences have a meaning. */
@FunctionalInterface
public interface Clock {
    /** Returns the clock that {@link System#nanoTime()} drives. */
    static Clock system() {
        return () -> System.nanoTime() / 1_000_000L;
    }

    /** Returns the current time in milliseconds since the clock's zero point. */
    long millis();
}
