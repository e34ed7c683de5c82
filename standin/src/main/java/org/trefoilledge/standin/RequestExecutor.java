package org.trefoilledge.standin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.trefoilledge.core.Clock;

/**
 * Executes requests: each one acquires a slot, waits for its service time, sends its child calls one by one and then
 * responds. No thread blocks: a timer ends the service time, and callbacks continue after each child call.
 */
final class RequestExecutor {
    /** Service time multiplier at the start of the cold start period; it falls linearly to 1 until the period ends. */
    private static final double INITIAL_COLD_START_FACTOR = 10;

    private final UpstreamOptions options;
    private final Clock clock;
    private final ScheduledThreadPoolExecutor timer;
    private final ChildCallClient childCalls;
    private final Slots slots;
    private final ExecutionCounts counts = new ExecutionCounts();
    private final Set<Execution> hangingExecutions = ConcurrentHashMap.newKeySet();
    private final long startedMillis;
    private volatile UpstreamBehaviour behaviour = UpstreamBehaviour.HEALTHY;
    private volatile long lastArrivalMillis;

    RequestExecutor(
            UpstreamOptions options, Clock clock, ScheduledThreadPoolExecutor timer, ChildCallClient childCalls) {
        this.options = options;
        this.clock = clock;
        this.timer = timer;
        this.childCalls = childCalls;
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
            hangingExecutions.forEach(this::resume);
        }
    }

    ExecutionCounts counts() {
        return counts;
    }

    LoadHistory.Sample currentLoad() {
        return new LoadHistory.Sample(clock.millis(), behaviour.state(), slots.running(), slots.waiting());
    }

    /** Returns the time since the last arrival in milliseconds, or 0 while requests run or wait. */
    long idleMillis() {
        boolean busy = slots.running() > 0 || slots.waiting() > 0;
        return busy ? 0 : clock.millis() - lastArrivalMillis;
    }

    void handle(Exchange exchange, int bodyBytes) {
        lastArrivalMillis = clock.millis();
        if (behaviour.state() == UpstreamState.DRAINING) {
            counts.count(ExecutionCounts.Kind.LATE);
        }
        Execution execution = new Execution(exchange, bodyBytes, lastArrivalMillis);
        execution.endPoint().watchForClose(() -> onConnectionClosed(execution));
        switch (slots.offer(execution)) {
            case RUN -> startFirstEligible(execution);
            case REFUSE -> refuse(execution, ExecutionCounts.Kind.REFUSED, 503, "the queue of the upstream is full");
            case WAIT -> {}
        }
    }

    /** Starts the execution in its slot; if it has ended or expired, starts the first queued one that can run. */
    private void startFirstEligible(Execution first) {
        Execution next = first;
        while (next != null && !tryStart(next)) {
            next = slots.release();
        }
    }

    private boolean tryStart(Execution execution) {
        if (execution.expired(clock.millis())) {
            refuse(execution, ExecutionCounts.Kind.EXPIRED, 504, "the deadline passed in the queue of the upstream");
            return false;
        }
        if (!execution.transition(Execution.Phase.WAITING, Execution.Phase.RUNNING)) {
            return false;
        }
        counts.countStarted(execution.idempotencyKey());
        if (behaviour.hang()) {
            hang(execution);
        } else {
            scheduleService(execution);
        }
        return true;
    }

    private void hang(Execution execution) {
        hangingExecutions.add(execution);
        if (!behaviour.hang()) {
            resume(execution);
        }
    }

    private void resume(Execution execution) {
        if (hangingExecutions.remove(execution)) {
            scheduleService(execution);
        }
    }

    private void scheduleService(Execution execution) {
        long serviceMicros = Math.round(randomServiceMillis() * 1000);
        Runnable step = Timers.logExceptions(() -> sendChildCall(execution, 0));
        try {
            execution.timer(timer.schedule(step, serviceMicros, TimeUnit.MICROSECONDS));
        } catch (RejectedExecutionException e) {
            execution.exchange().abort();
        }
    }

    private double randomServiceMillis() {
        double spread =
                options.serviceTimeSpread() * (2 * ThreadLocalRandom.current().nextDouble() - 1);
        return options.serviceTimeMillis() * (1 + spread) * behaviour.slowdown() * coldStartFactor();
    }

    private double coldStartFactor() {
        long ageMillis = clock.millis() - startedMillis;
        if (ageMillis >= options.coldStartMillis()) {
            return 1;
        }
        return INITIAL_COLD_START_FACTOR - (INITIAL_COLD_START_FACTOR - 1) * ageMillis / options.coldStartMillis();
    }

    private void sendChildCall(Execution execution, int index) {
        if (!execution.running()) {
            return;
        }
        if (index >= childCalls.count()) {
            complete(execution);
            return;
        }
        long now = clock.millis();
        if (execution.expired(now)) {
            finish(
                    execution,
                    504,
                    UpstreamResponse.encode(UpstreamResponse.errorBody("the deadline passed before an own call")));
            return;
        }
        childCalls.send(index, execution, now, status -> onChildCallCompleted(execution, index, status));
    }

    private void onChildCallCompleted(Execution execution, int index, int status) {
        if (status >= 200 && status < 300) {
            sendChildCall(execution, index + 1);
            return;
        }
        ObjectNode body = UpstreamResponse.errorBody("an own call of the upstream failed")
                .put("call", childCalls.template(index))
                .put("callStatus", status);
        finish(execution, 502, UpstreamResponse.encode(body));
    }

    private void complete(Execution execution) {
        if (ThreadLocalRandom.current().nextDouble() < behaviour.failureRatio()) {
            finish(
                    execution,
                    500,
                    UpstreamResponse.encode(UpstreamResponse.errorBody("the upstream failed on request")));
            return;
        }
        finish(execution, 200, UpstreamResponse.successBody(options, execution));
    }

    private void finish(Execution execution, int status, byte[] body) {
        if (!execution.transition(Execution.Phase.RUNNING, Execution.Phase.ENDED)) {
            return;
        }
        counts.count(ExecutionCounts.Kind.FINISHED);
        if (status >= 500) {
            counts.count(ExecutionCounts.Kind.FAILED);
        }
        if (execution.expired(clock.millis())) {
            counts.count(ExecutionCounts.Kind.WASTED);
        }
        execution.endPoint().stopWatchingForClose();
        execution.exchange().sendJsonWithReset(status, body, behaviour.resetAfterBytes());
        startFirstEligible(slots.release());
    }

    private void refuse(Execution execution, ExecutionCounts.Kind kind, int status, String message) {
        if (!execution.transition(Execution.Phase.WAITING, Execution.Phase.ENDED)) {
            return;
        }
        counts.count(kind);
        execution.endPoint().stopWatchingForClose();
        execution.exchange().sendJson(status, UpstreamResponse.errorBody(message));
    }

    /** Cancels the execution whose connection was closed, and passes its slot, if any, to the next request. */
    private void onConnectionClosed(Execution execution) {
        if (execution.transition(Execution.Phase.WAITING, Execution.Phase.ENDED)) {
            counts.count(ExecutionCounts.Kind.ABANDONED);
            slots.remove(execution);
            execution.cancel();
        } else if (execution.transition(Execution.Phase.RUNNING, Execution.Phase.ENDED)) {
            counts.count(ExecutionCounts.Kind.CANCELLED);
            hangingExecutions.remove(execution);
            execution.cancel();
            startFirstEligible(slots.release());
        }
    }
}
