package org.trefoilledge.sidecar;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Schedules periodic tasks that continue after an exception. An executor silently cancels a periodic task that throws. */
final class Repeated {
    private static final Logger LOG = LoggerFactory.getLogger(Repeated.class);

    private Repeated() {}

    /** Runs a task periodically with the given delay between runs; the first run starts after one delay. */
    @SuppressWarnings("FutureReturnValueIgnored") // exceptions are logged, and the task ends with its executor
    static void scheduleWithFixedDelay(ScheduledExecutorService executor, long delayMillis, Runnable task) {
        executor.scheduleWithFixedDelay(() -> runAndLogErrors(task), delayMillis, delayMillis, TimeUnit.MILLISECONDS);
    }

    /** Runs a task, and logs an unexpected exception instead of throwing it. */
    static void runAndLogErrors(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            LOG.error("sidecar: background task failed", e);
        }
    }
}
