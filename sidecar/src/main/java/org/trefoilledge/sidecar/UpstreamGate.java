package org.trefoilledge.sidecar;

import io.netty.channel.EventLoop;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.trefoilledge.core.Clock;
import org.trefoilledge.core.ErrorKind;
import org.trefoilledge.core.OrganisationId;
import org.trefoilledge.core.RouteId;
import org.trefoilledge.core.ServiceId;
import org.trefoilledge.core.admission.NodeLoad;
import org.trefoilledge.core.overload.CallEnd;
import org.trefoilledge.core.overload.Guard;
import org.trefoilledge.core.overload.GuardAction;
import org.trefoilledge.core.overload.GuardSettings;
import org.trefoilledge.core.overload.LoadReport;
import org.trefoilledge.core.overload.Mechanism;
import org.trefoilledge.wire.generated.Call;
import org.trefoilledge.wire.generated.CallAnswer;

/**
 * Controls all calls to the upstream on this host: runs as many at once as the upstream has slots, queues the others,
 * and refuses calls that the upstream must not receive. Not thread-safe: used on the traffic thread only.
 */
@SuppressWarnings("FutureReturnValueIgnored") // channel events and timers report failures
final class UpstreamGate {
    /** Interval of ticks while calls are queued. */
    private static final long QUEUE_TICK_MILLIS = 20;

    /** Interval of ticks while no call is queued. The first queued call switches to the shorter interval. */
    private static final long IDLE_TICK_MILLIS = 200;
    /** Time after its deadline at which a call that still runs is aborted. */
    private static final long ABORT_DELAY_MILLIS = 1_000;
    /** Time for which calls are refused after a failed connection attempt. */
    private static final long CONNECT_BACKOFF_MILLIS = 300;

    private final EventLoop trafficLoop;
    private final UpstreamPool pool;
    private final Clock clock;
    private final LoadMeter loadMeter;
    private final ColdStartControl coldStart;
    private final Map<Long, GateCall> pendingCalls = new HashMap<>();
    private final Guard guard;
    /** Null if the limit is not learned. */
    private final LearnedLimitLog learnedLimit;

    private LocalUpstream upstream;
    private Map<OrganisationId, Double> organisationWeights = Map.of();
    private ScheduledFuture<?> tickTimer;
    private boolean queueTickScheduled;
    private long lastTicket;
    /** Pending calls that were sent to the upstream. */
    private int sentCalls;

    private long connectBackoffUntilMillis = Long.MIN_VALUE;
    private boolean stopping;
    /** Why no call may reach the upstream at present; null if calls may reach it. */
    private String closedReason;

    /** Creates a gate that limits no cold upstream. */
    UpstreamGate(EventLoop trafficLoop, UpstreamPool pool, LocalUpstream upstream, LoadMeter loadMeter, Clock clock) {
        this(trafficLoop, pool, upstream, loadMeter, ColdStartControl.disabled(clock), clock, false);
    }

    /**
     * Creates a gate.
     *
     * @param learnCapacity whether the concurrency limit is learned; otherwise it is the announced slots
     */
    UpstreamGate(
            EventLoop trafficLoop,
            UpstreamPool pool,
            LocalUpstream upstream,
            LoadMeter loadMeter,
            ColdStartControl coldStart,
            Clock clock,
            boolean learnCapacity) {
        this.trafficLoop = trafficLoop;
        this.pool = pool;
        this.upstream = upstream;
        this.loadMeter = loadMeter;
        this.coldStart = coldStart;
        this.clock = clock;
        // All calls to the upstream pass this gate, so its slots are an exact limit and no adaptive limit is needed.
        GuardSettings guardSettings = GuardSettings.defaults(upstream.slots())
                .withMechanisms(EnumSet.of(
                        Mechanism.CONCURRENCY_LIMIT, Mechanism.IMPORTANCE, Mechanism.FAIRNESS, Mechanism.DEADLINES));
        this.guard = learnCapacity ? Guard.withLearnedCapacity(guardSettings) : new Guard(guardSettings);
        this.learnedLimit = learnCapacity ? new LearnedLimitLog() : null;
        pool.onConnectionLost(coldStart::suspect);
    }

    /** Sets the state of the upstream. Refuses the queued calls if it is no longer serving. */
    void upstream(LocalUpstream current) {
        if (!current.id().equals(upstream.id())) {
            pool.closeIdle();
            connectBackoffUntilMillis = Long.MIN_VALUE;
            guard.restartLearning();
        }
        upstream = current;
        coldStart.upstreamId(current.id());
        guard.configure(upstream.slots(), organisationWeights);
        if (!upstream.serving()) {
            refuseQueued();
        }
    }

    /** Sets the queue weight of each organisation. Nested calls get the sum of all weights. */
    void organisationWeights(Map<OrganisationId, Double> newWeights) {
        double totalWeight =
                newWeights.values().stream().mapToDouble(Double::doubleValue).sum();
        organisationWeights = new HashMap<>(newWeights);
        organisationWeights.put(GateCall.NESTED_ORGANISATION, Math.max(1, totalWeight));
        guard.configure(upstream.slots(), organisationWeights);
    }

    /** Refuses the queued and all further calls for the given reason, until the gate is opened. Running calls continue. */
    void close(String reason) {
        closedReason = reason;
        refuseQueued();
    }

    /** Accepts calls again. */
    void open() {
        closedReason = null;
    }

    /** Refuses the queued and all further calls. Running calls continue. */
    void stop() {
        stopping = true;
        refuseQueued();
    }

    /** Returns whether no call is queued or running. */
    boolean isIdle() {
        return pendingCalls.isEmpty();
    }

    /** Ends the current interval of the load meter and returns the load. */
    NodeLoad sampleLoad() {
        LoadReport load = loadReport();
        if (learnedLimit != null) {
            learnedLimit.update(load.limit(), upstream.slots(), guard.relativeSpeed());
        }
        int usableSlots = learnedLimit != null ? load.limit() : upstream.slots();
        int slots = stopping || closedReason != null || !upstream.serving() ? 0 : coldStart.reduceSlots(usableSlots);
        return loadMeter.sample(slots, load.queueDelayMillis());
    }

    /** Marks this node as under pressure because its requests find no upstream, so that it reports its load sooner. */
    void markUnderPressure() {
        loadMeter.recordPressure();
    }

    /** Records that an attempt of this node to execute a request has ended. */
    void recordAttempt(boolean failed) {
        loadMeter.attempted(failed);
    }

    /** Records a retry that this node sends to a service, and its cost in the retry budget. */
    void recordRetry(ServiceId service, double cost) {
        loadMeter.retried(service, cost);
    }

    /** Returns whether calls wait or find no upstream, or requests surge. May be called from any thread. */
    boolean isUnderPressure() {
        return loadMeter.underPressure();
    }

    /** Returns the learned limit for the operators, null if it is not learned. */
    LearnedLimitLog learnedLimit() {
        return learnedLimit;
    }

    LoadReport loadReport() {
        return guard.report(clock.millis());
    }

    /**
     * Runs, queues or refuses a call.
     *
     * @param onAnswer receives the answer, exactly once unless the call is cancelled before
     * @return an action that cancels the call; a call that was sent to the upstream is aborted only if it is idempotent
     */
    Runnable offer(Call call, Consumer<CallAnswer> onAnswer) {
        long now = clock.millis();
        CallAnswer refusal = refusalFor(call, now);
        if (refusal != null) {
            onAnswer.accept(withLoad(refusal.toBuilder()));
            return () -> {};
        }
        long ticket = ++lastTicket;
        GateCall pending = new GateCall(call, now, onAnswer);
        pendingCalls.put(ticket, pending);
        performActions(guard.offer(pending.toGuardedCall(ticket), now));
        if (guard.running() < pendingCalls.size()) {
            loadMeter.recordPressure();
        }
        scheduleTick();
        return () -> cancel(ticket, pending);
    }

    /** Returns the refusal of a call, or null if the call may run. */
    private CallAnswer refusalFor(Call call, long now) {
        if (!call.getService().equals(upstream.service().value())) {
            return Refusals.refusal(ErrorKind.NO_UPSTREAM, "another service has this address now");
        }
        if (stopping || upstream.state() == LocalUpstream.State.DRAINING) {
            return Refusals.refusal(ErrorKind.DRAINING, "the upstream takes no new work");
        }
        if (upstream.state() == LocalUpstream.State.GONE || now < connectBackoffUntilMillis) {
            return Refusals.refusal(ErrorKind.NO_UPSTREAM, "no upstream is announced or it accepts no connection");
        }
        return closedReason != null
                ? Refusals.refusal(ErrorKind.NO_UPSTREAM, closedReason)
                : coldStart.refusalForOffer(unsentCalls());
    }

    private int unsentCalls() {
        return pendingCalls.size() - sentCalls;
    }

    /** Refuses queued calls that a cold upstream cannot get soon. */
    private void refuseQueuedAboveColdRate() {
        for (Map.Entry<Long, GateCall> entry : List.copyOf(pendingCalls.entrySet())) {
            if (!coldStart.isLimiting() || guard.running() == pendingCalls.size()) {
                return;
            }
            CallAnswer refusal = entry.getValue().isRunning() ? null : coldStart.refusalForOffer(unsentCalls() - 1);
            if (refusal != null) {
                guard.cancel(entry.getKey(), clock.millis());
                complete(entry.getKey(), refusal);
            }
        }
    }

    private void refuseQueued() {
        for (Map.Entry<Long, GateCall> entry : List.copyOf(pendingCalls.entrySet())) {
            if (!entry.getValue().isRunning()) {
                guard.cancel(entry.getKey(), clock.millis());
                complete(
                        entry.getKey(),
                        Refusals.refusal(ErrorKind.DRAINING, "the upstream stopped taking work while this waited"));
            }
        }
    }

    private void cancel(long ticket, GateCall pending) {
        if (pending.cancelled || pendingCalls.get(ticket) != pending) {
            return;
        }
        pending.cancelled = true;
        if (!pending.isRunning()) {
            pendingCalls.remove(ticket);
            performActions(guard.cancel(ticket, clock.millis()));
        } else if (pending.call.getIdempotent()) {
            pending.execution.abort();
        } else {
            pending.execution.abortIfUnsent();
        }
    }

    private void performActions(List<GuardAction> actions) {
        for (GuardAction action : actions) {
            if (action instanceof GuardAction.Run run) {
                startCall(run.ticket());
            } else if (action instanceof GuardAction.Refuse refuse) {
                complete(
                        refuse.ticket(),
                        Refusals.refusal(refuse.kind(), refuse.retryAfterMillis(), "the upstream's queue"));
            }
        }
    }

    private void startCall(long ticket) {
        GateCall pending = pendingCalls.get(ticket);
        pending.startedMillis = clock.millis();
        RouteId route = pending.route;
        loadMeter.started(route, pending.startedMillis - pending.offeredMillis);
        var request = new UpstreamPool.UpstreamRequest(
                pending.call, upstream.id(), pending.deadlineMillis, () -> refusalForSend(pending));
        pending.execution = pool.execute(request, answer -> {
            loadMeter.ended(route, clock.millis() - pending.startedMillis);
            handleAnswer(ticket, pending, answer);
        });
    }

    private CallAnswer refusalForSend(GateCall pending) {
        CallAnswer refusal = closedReason != null
                ? Refusals.refusal(ErrorKind.NO_UPSTREAM, closedReason)
                : coldStart.refusalForSend();
        if (refusal == null) {
            pending.sent = true;
            sentCalls++;
        }
        return refusal;
    }

    private void handleAnswer(long ticket, GateCall pending, CallAnswer answer) {
        long now = clock.millis();
        if (pending.sent) {
            coldStart.recordExecution(now - pending.startedMillis);
        }
        if (Refusals.isRefusal(answer, ErrorKind.NO_UPSTREAM)) {
            connectBackoffUntilMillis = now + CONNECT_BACKOFF_MILLIS;
        }
        recordAnswer(pendingCalls.get(ticket), answer);
        complete(ticket, answer);
        performActions(guard.finish(ticket, endOf(pending, answer), now));
    }

    private CallEnd endOf(GateCall pending, CallAnswer answer) {
        if (Refusals.isRefusal(answer) || answer.getStatus() >= 500) {
            return pending.cancelled ? CallEnd.ABANDONED : CallEnd.FAILED;
        }
        return loadMeter.makesCalls(pending.route) ? CallEnd.COMPLETED_WITH_CALLS : CallEnd.COMPLETED;
    }

    /** Records whether the upstream has rejected a call, or has failed in a way that a retry can cure. */
    private void recordAnswer(GateCall pending, CallAnswer answer) {
        if (pending == null || pending.cancelled || answer.getStatus() == ErrorKind.DEADLINE_EXCEEDED.status()) {
            return;
        }
        boolean fromUpstream = !Refusals.isRefusal(answer) || answer.getReachedUpstream();
        // The calls that an execution makes can be the cause of its failure, but not of a rejection.
        boolean ownFailure =
                answer.getStatus() >= 500 && pending.call.getIdempotent() && !loadMeter.makesCalls(pending.route);
        if (fromUpstream || Refusals.isRefusal(answer, ErrorKind.UPSTREAM_FAILED)) {
            loadMeter.answered(answer.getReachedUpstream() || ownFailure);
        }
    }

    private void complete(long ticket, CallAnswer answer) {
        GateCall pending = pendingCalls.remove(ticket);
        sentCalls -= pending != null && pending.sent ? 1 : 0;
        if (pending != null && !pending.cancelled) {
            boolean makesCalls = loadMeter.makesCalls(pending.route);
            int serviceTimeMillis = (int) Math.round(guard.serviceTimeMillis(pending.route, clock.millis()));
            pending.onAnswer.accept(
                    withLoad(answer.toBuilder().setMakesCalls(makesCalls).setServiceTimeMillis(serviceTimeMillis)));
        }
    }

    /** Adds the load of this gate, by which other nodes choose among upstreams. */
    private CallAnswer withLoad(CallAnswer.Builder answer) {
        LoadReport load = coldStart.reduceLimit(loadReport());
        return answer.setInFlight(load.inFlight())
                .setLimit(load.limit())
                .setQueueDelayMillis((int) load.queueDelayMillis())
                .build();
    }

    private void scheduleTick() {
        boolean queued = guard.running() < pendingCalls.size();
        if (tickTimer != null && queued && !queueTickScheduled) {
            tickTimer.cancel(false);
            tickTimer = null;
        }
        if (tickTimer == null && !pendingCalls.isEmpty()) {
            queueTickScheduled = queued;
            tickTimer = trafficLoop.schedule(
                    this::tick, queued ? QUEUE_TICK_MILLIS : IDLE_TICK_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void tick() {
        tickTimer = null;
        long now = clock.millis();
        performActions(guard.tick(now));
        refuseQueuedAboveColdRate();
        for (GateCall pending : List.copyOf(pendingCalls.values())) {
            if (pending.isRunning() && now > pending.deadlineMillis + ABORT_DELAY_MILLIS) {
                pending.execution.abort();
            }
        }
        scheduleTick();
    }
}
