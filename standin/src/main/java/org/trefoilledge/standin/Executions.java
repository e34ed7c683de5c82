package org.trefoilledge.standin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.trefoilledge.core.Clock;

/** Executes requests: slot, service time, own calls, response. Nothing blocks; a timer continues each execution. */
final class Executions {
    /** Factor of the service time right after the start; it falls to 1 over the cold start. */
    private static final double COLD_FACTOR = 10;

    private final UpstreamOptions options;
    private final Clock clock;
    private final ScheduledThreadPoolExecutor timer;
    private final ChildCalls calls;
    private final Slots slots;
    private final ExecutionCounts counts = new ExecutionCounts();
    private final Set<Execution> hanging = ConcurrentHashMap.newKeySet();
    private final long startedMillis;
    private volatile UpstreamBehaviour behaviour = UpstreamBehaviour.HEALTHY;
    private volatile long lastArrivalMillis;

    Executions(UpstreamOptions options, Clock clock, ScheduledThreadPoolExecutor timer, ChildCalls calls) {
        this.options = options;
        this.clock = clock;
        this.timer = timer;
        this.calls = calls;
        slots = new Slots(options.slots(), options.queue());
        startedMillis = clock.millis();
        lastArrivalMillis = startedMillis;
    }

    UpstreamBehaviour behaviour() {
        return behaviour;
    }

    void apply(UpstreamBehaviour replacement) {
        behaviour = replacement;
        if (!replacement.hang()) {
            hanging.forEach(this::leaveHang);
        }
    }

    ExecutionCounts counts() {
        return counts;
    }

    LoadHistory.Sample load() {
        return new LoadHistory.Sample(clock.millis(), behaviour.state(), slots.running(), slots.waiting());
    }

    /** Returns for how long nothing has arrived or run, in milliseconds. */
    long idleMillis() {
        boolean busy = slots.running() > 0 || slots.waiting() > 0;
        return busy ? 0 : clock.millis() - lastArrivalMillis;
    }

    void arrived(Exchange exchange, int bodyBytes) {
        lastArrivalMillis = clock.millis();
        if (behaviour.state() == UpstreamState.DRAINING) {
            counts.count(ExecutionCounts.Kind.LATE);
        }
        Execution execution = new Execution(exchange, bodyBytes, lastArrivalMillis);
        execution.endPoint().watchForClose(() -> closed(execution));
        switch (slots.offer(execution)) {
            case RUN -> startFrom(execution);
            case REFUSE -> refuse(execution, ExecutionCounts.Kind.REFUSED, 503, "the queue of the upstream is full");
            case WAIT -> {}
        }
    }

    /** Gives a slot to the request, or to the next that can use it. */
    private void startFrom(Execution first) {
        Execution next = first;
        while (next != null && !start(next)) {
            next = slots.release();
        }
    }

    private boolean start(Execution execution) {
        if (execution.expired(clock.millis())) {
            refuse(execution, ExecutionCounts.Kind.EXPIRED, 504, "the deadline passed in the queue of the upstream");
            return false;
        }
        if (!execution.move(Execution.Phase.WAITING, Execution.Phase.RUNNING)) {
            return false;
        }
        counts.started(execution.idempotencyKey());
        if (behaviour.hang()) {
            hang(execution);
        } else {
            serve(execution);
        }
        return true;
    }

    private void hang(Execution execution) {
        hanging.add(execution);
        if (!behaviour.hang()) {
            leaveHang(execution);
        }
    }

    private void leaveHang(Execution execution) {
        if (hanging.remove(execution)) {
            serve(execution);
        }
    }

    private void serve(Execution execution) {
        long micros = Math.round(serviceMillis() * 1000);
        Runnable step = Timers.guarded(() -> call(execution, 0));
        try {
            execution.timer(timer.schedule(step, micros, TimeUnit.MICROSECONDS));
        } catch (RejectedExecutionException e) {
            execution.exchange().abort();
        }
    }

    private double serviceMillis() {
        double spread =
                options.serviceTimeSpread() * (2 * ThreadLocalRandom.current().nextDouble() - 1);
        return options.serviceTimeMillis() * (1 + spread) * behaviour.slowdown() * coldFactor();
    }

    private double coldFactor() {
        long age = clock.millis() - startedMillis;
        if (age >= options.coldStartMillis()) {
            return 1;
        }
        return COLD_FACTOR - (COLD_FACTOR - 1) * age / options.coldStartMillis();
    }

    private void call(Execution execution, int index) {
        if (!execution.running()) {
            return;
        }
        if (index >= calls.count()) {
            succeed(execution);
            return;
        }
        long now = clock.millis();
        if (execution.expired(now)) {
            finish(
                    execution,
                    504,
                    UpstreamAnswer.bytes(UpstreamAnswer.error("the deadline passed before an own call")));
            return;
        }
        calls.send(index, execution, now, status -> called(execution, index, status));
    }

    private void called(Execution execution, int index, int status) {
        if (status >= 200 && status < 300) {
            call(execution, index + 1);
            return;
        }
        ObjectNode body = UpstreamAnswer.error("an own call of the upstream failed")
                .put("call", calls.template(index))
                .put("callStatus", status);
        finish(execution, 502, UpstreamAnswer.bytes(body));
    }

    private void succeed(Execution execution) {
        if (ThreadLocalRandom.current().nextDouble() < behaviour.failureRatio()) {
            finish(execution, 500, UpstreamAnswer.bytes(UpstreamAnswer.error("the upstream failed on request")));
            return;
        }
        finish(execution, 200, UpstreamAnswer.success(options, execution));
    }

    private void finish(Execution execution, int status, byte[] body) {
        if (!execution.move(Execution.Phase.RUNNING, Execution.Phase.ENDED)) {
            return;
        }
        counts.count(ExecutionCounts.Kind.FINISHED);
        if (status >= 500) {
            counts.count(ExecutionCounts.Kind.FAILED);
        }
        if (execution.expired(clock.millis())) {
            counts.count(ExecutionCounts.Kind.WASTED);
        }
        execution.endPoint().stopWatching();
        execution.exchange().jsonWithReset(status, body, behaviour.resetAfterBytes());
        startFrom(slots.release());
    }

    private void refuse(Execution execution, ExecutionCounts.Kind kind, int status, String message) {
        if (!execution.move(Execution.Phase.WAITING, Execution.Phase.ENDED)) {
            return;
        }
        counts.count(kind);
        execution.endPoint().stopWatching();
        execution.exchange().json(status, UpstreamAnswer.error(message));
    }

    /** The connection was closed: work for it stops, and its slot goes to the next request. */
    private void closed(Execution execution) {
        if (execution.move(Execution.Phase.WAITING, Execution.Phase.ENDED)) {
            counts.count(ExecutionCounts.Kind.ABANDONED);
            slots.remove(execution);
            execution.stop();
        } else if (execution.move(Execution.Phase.RUNNING, Execution.Phase.ENDED)) {
            counts.count(ExecutionCounts.Kind.CANCELLED);
            hanging.remove(execution);
            execution.stop();
            startFrom(slots.release());
        }
    }
}
