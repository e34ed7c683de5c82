package org.trefoilledge.standin;

import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Timers of the stand-ins. */
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

    /** Runs a task after a delay; tasks that come after the timer was shut down are dropped. */
    static void schedule(ScheduledThreadPoolExecutor timer, Runnable task, long delay, TimeUnit unit) {
        try {
            var unused = timer.schedule(logExceptions(task), delay, unit);
        } catch (RejectedExecutionException e) {
            log.debug("standin: a task was dropped because the stand-in has stopped");
        }
    }

    /** An exception would end a repeated task silently, so it is logged. */
    static Runnable logExceptions(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException e) {
                log.warn("standin: a timed task failed", e);
            }
        };
    }
}
