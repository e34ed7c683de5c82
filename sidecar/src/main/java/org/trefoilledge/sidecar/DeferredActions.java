package org.trefoilledge.sidecar;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * Runs actions once the event loop has polled its sockets again and has processed what was found there. A thread that is
 * behind can find a request and the close of its caller together; an action that is deferred takes effect after the close.
 * Not thread-safe: used on the event loop only.
 */
@SuppressWarnings("FutureReturnValueIgnored") // the event loop logs tasks that fail
public final class DeferredActions {
    /** Time after which the sockets are polled again before further actions. */
    private static final long MAX_NANOS_BETWEEN_POLLS = TimeUnit.MILLISECONDS.toNanos(20);

    private final EventLoop loop;
    private final Deque<Runnable> actions = new ArrayDeque<>();
    private boolean scheduled;

    public DeferredActions(EventLoop loop) {
        this.loop = loop;
    }

    /** Runs an action after the next poll. Actions run in the order of these calls; one that throws is logged. */
    public void add(Runnable action) {
        actions.addLast(action);
        if (!scheduled) {
            scheduled = true;
            loop.execute(this::runAfterPoll);
        }
    }

    /** Must be called by a task: a loop fetches due timers once after each poll, so that this one waits for the next. */
    private void runAfterPoll() {
        loop.schedule(this::runForAWhile, 0, TimeUnit.MILLISECONDS);
    }

    private void runForAWhile() {
        long startNanos = System.nanoTime();
        while (!actions.isEmpty() && System.nanoTime() - startNanos < MAX_NANOS_BETWEEN_POLLS) {
            Repeated.runAndLogErrors(actions.pollFirst());
        }
        scheduled = !actions.isEmpty();
        if (scheduled) {
            runAfterPoll();
        }
    }
}
