package org.trefoilledge.sidecar;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Tasks that go on after an unexpected error: an executor would drop a repeated task that throws, without a word. */
final class Repeated {
    private static final Logger LOG = LoggerFactory.getLogger(Repeated.class);

    private Repeated() {}

    /** Runs a task again and again with the given pause, the first time after one pause. */
    @SuppressWarnings("FutureReturnValueIgnored") // the task logs its errors and ends with its executor
    static void scheduleWithFixedDelay(ScheduledExecutorService executor, long pauseMillis, Runnable task) {
        executor.scheduleWithFixedDelay(() -> runAndLogErrors(task), pauseMillis, pauseMillis, TimeUnit.MILLISECONDS);
    }

    /** Runs a task and logs an unexpected error, so that what follows goes on. */
    static void runAndLogErrors(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            LOG.error("a task failed; it is tried again", e);
        }
    }
}
