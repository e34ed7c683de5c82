package org.trefoilledge.standin;

import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Creates single-threaded timers and schedules tasks on them. */
final class Timers {
    private static final Logger log = LoggerFactory.getLogger(Timers.class);

    private Timers() {}

    static ScheduledThreadPoolExecutor create(String name) {
        ScheduledThreadPoolExecutor timer = new ScheduledThreadPoolExecutor(1, task -> {
            Thread thread = new Thread(task, name);
            thread.setDaemon(true);
            return thread;
        });
        timer.setRemoveOnCancelPolicy(true);
        return timer;
    }

    /** Schedules a task after a delay. The task is dropped if the timer has been shut down. */
    static void schedule(ScheduledThreadPoolExecutor timer, Runnable task, long delay, TimeUnit unit) {
        try {
            var unused = timer.schedule(logExceptions(task), delay, unit);
        } catch (RejectedExecutionException e) {
            log.debug("standin: dropped a scheduled task because the timer is shut down");
        }
    }

    /** Wraps a task so that its exceptions are logged; an exception would silently cancel a periodic task. */
    static Runnable logExceptions(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException e) {
                log.warn("standin: scheduled task failed", e);
            }
        };
    }
}
