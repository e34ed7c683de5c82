package org.trefoilledge.sidecar;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.trefoilledge.core.Clock;

/** Measures how late a thread is, by the delays of a periodic task. Run by that thread, read by any. */
final class LoopDelayMeter implements Runnable {
    private static final Logger LOG = LoggerFactory.getLogger(LoopDelayMeter.class);
    static final long INTERVAL_MILLIS = 500;
    /** Delay from which the thread counts as behind. Callers on a host give up after about a second. */
    private static final long LOGGED_DELAY_MILLIS = 250;

    private final String thread;
    private final Clock clock;
    private long dueMillis;
    private volatile long lastDelayMillis;

    /** @param thread name of the thread in logs */
    LoopDelayMeter(String thread, Clock clock) {
        this.thread = thread;
        this.clock = clock;
        this.dueMillis = clock.millis() + INTERVAL_MILLIS;
    }

    @Override
    public void run() {
        long now = clock.millis();
        lastDelayMillis = Math.max(0, now - dueMillis);
        dueMillis = now + INTERVAL_MILLIS;
        if (lastDelayMillis >= LOGGED_DELAY_MILLIS) {
            LOG.warn("{}: the {} thread is {} ms late", thread, thread, lastDelayMillis);
        }
    }

    /** Returns by how much the last run was late, in milliseconds. */
    long lastDelayMillis() {
        return lastDelayMillis;
    }
}
