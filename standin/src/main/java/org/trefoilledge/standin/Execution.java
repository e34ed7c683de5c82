package org.trefoilledge.standin;

import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicReference;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.io.EofException;

/** One request on its way through the upstream. */
final class Execution {
    /** Header with the time in milliseconds that the caller still waits. */
    static final String DEADLINE_HEADER = "Trefoilledge-Deadline-Ms";

    private final Exchange exchange;
    private final int bodyBytes;
    private final long deadlineMillis;
    private final AtomicReference<Phase> phase = new AtomicReference<>(Phase.WAITING);
    private volatile Future<?> timer;
    private volatile Request child;

    /** Each request passes through these in order and may skip the second. */
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

    /** Moves to another phase; false if the request is not in the expected one any more. */
    boolean transition(Phase from, Phase to) {
        return phase.compareAndSet(from, to);
    }

    /** Remembers the timer that continues this execution, and cancels it if the execution has ended meanwhile. */
    void timer(Future<?> next) {
        timer = next;
        if (phase.get() == Phase.ENDED) {
            next.cancel(false);
        }
    }

    /** Remembers the call that this execution waits for, and aborts it if the execution has ended meanwhile. */
    void child(Request next) {
        child = next;
        if (phase.get() == Phase.ENDED) {
            abortChild();
        }
    }

    /** Stops what runs for this execution after it has ended. */
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
