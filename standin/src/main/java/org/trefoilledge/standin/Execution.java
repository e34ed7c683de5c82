package org.trefoilledge.standin;

import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicReference;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.io.EofException;

/** The execution of one request, from its arrival to its response or cancellation. */
final class Execution {
    /** Header with the remaining time before the deadline of the caller, in milliseconds. */
    static final String DEADLINE_HEADER = "Trefoilledge-Deadline-Ms";

    private final Exchange exchange;
    private final int bodyBytes;
    private final long deadlineMillis;
    private final AtomicReference<Phase> phase = new AtomicReference<>(Phase.WAITING);
    private volatile Future<?> timer;
    private volatile Request child;

    /** Phases of an execution, in order. A request that never gets a slot skips {@code RUNNING}. */
    enum Phase {
        WAITING,
        RUNNING,
        ENDED
    }

    Execution(Exchange exchange, int bodyBytes, long now) {
        this.exchange = exchange;
        this.bodyBytes = bodyBytes;
        deadlineMillis = parseDeadline(exchange.header(DEADLINE_HEADER), now);
    }

    private static long parseDeadline(String header, long now) {
        try {
            return header == null ? Long.MAX_VALUE : now + Long.parseLong(header.trim());
        } catch (NumberFormatException e) {
            return Long.MAX_VALUE;
        }
    }

    Exchange exchange() {
        return exchange;
    }

    int bodyBytes() {
        return bodyBytes;
    }

    String idempotencyKey() {
        return exchange.header("Idempotency-Key");
    }

    boolean expired(long now) {
        return now >= deadlineMillis;
    }

    long remainingMillis(long now) {
        return Math.max(1, deadlineMillis - now);
    }

    boolean running() {
        return phase.get() == Phase.RUNNING;
    }

    /** Atomically changes the phase. Returns false, without a change, if the current phase is not the expected one. */
    boolean transition(Phase from, Phase to) {
        return phase.compareAndSet(from, to);
    }

    /** Sets the pending timer task of this execution, and cancels the task if the execution has already ended. */
    void timer(Future<?> next) {
        timer = next;
        if (phase.get() == Phase.ENDED) {
            next.cancel(false);
        }
    }

    /** Sets the pending child call of this execution, and aborts the call if the execution has already ended. */
    void child(Request next) {
        child = next;
        if (phase.get() == Phase.ENDED) {
            abortChild();
        }
    }

    /** Cancels the pending timer task and child call, and closes the connection. The phase must already be ENDED. */
    void cancel() {
        Future<?> pending = timer;
        if (pending != null) {
            pending.cancel(false);
        }
        abortChild();
        exchange.abort();
    }

    private void abortChild() {
        Request pending = child;
        if (pending != null) {
            var unused = pending.abort(new EofException("the caller closed its connection"));
        }
    }

    ObservedEndPoint endPoint() {
        return exchange.endPoint();
    }
}
