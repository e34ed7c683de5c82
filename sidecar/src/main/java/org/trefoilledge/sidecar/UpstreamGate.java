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
import org.trefoilledge.core.Importance;
import org.trefoilledge.core.OrganisationId;
import org.trefoilledge.core.RouteId;
import org.trefoilledge.core.admission.NodeLoad;
import org.trefoilledge.core.overload.Guard;
import org.trefoilledge.core.overload.GuardAction;
import org.trefoilledge.core.overload.GuardSettings;
import org.trefoilledge.core.overload.GuardedCall;
import org.trefoilledge.core.overload.LoadReport;
import org.trefoilledge.core.overload.Mechanism;
import org.trefoilledge.wire.generated.Call;
import org.trefoilledge.wire.generated.CallAnswer;

/**
 * The only way to the upstream on this host. It refuses calls that the upstream must not get, lets as many run as the
 * upstream has slots, and queues the others. Used on the traffic thread.
 */
@SuppressWarnings("FutureReturnValueIgnored") // channel events and timers report how such an operation ended
final class UpstreamGate {
    /** Stands for the upstreams' own calls, which carry no organisation. */
    static final OrganisationId NESTED_ORGANISATION = new OrganisationId("nested");

    /** Calls of requests that have begun go before new requests, except the most important ones. */
    private static final Importance NESTED_IMPORTANCE = Importance.HIGH;

    private static final OrganisationId OPEN_ORGANISATION = new OrganisationId("open");
    private static final long QUEUE_TICK_MILLIS = 20;
    /** Interval while nothing is queued; a call that is queued meanwhile starts the shorter one. */
    private static final long IDLE_TICK_MILLIS = 200;
    /** Time after its deadline at which a call that the upstream still holds is broken off. */
    private static final long ABORT_DELAY_MILLIS = 1_000;
    /** Time for which calls are refused after the upstream accepted no connection. */
    private static final long CONNECT_BACKOFF_MILLIS = 300;

    private final EventLoop trafficLoop;
    private final UpstreamPool pool;
    private final Clock clock;
    private final LoadMeter loadMeter;
    private final Map<Long, PendingCall> pendingCalls = new HashMap<>();
    private final Guard guard;
    private LocalUpstream upstream;
    private Map<OrganisationId, Double> organisationWeights = Map.of();
    private ScheduledFuture<?> tickTimer;
    private boolean queueTickScheduled;
    private long lastTicket;
    private long connectBackoffUntilMillis = Long.MIN_VALUE;
    private boolean stopping;

    private static final class PendingCall {
        private final Call call;
        private final RouteId route;
        private final long deadlineMillis;
        private final Consumer<CallAnswer> onAnswer;
        private final long offeredMillis;
        private long startedMillis;
        private Runnable abort;
        private boolean cancelled;

        PendingCall(Call call, long offeredMillis, Consumer<CallAnswer> answered) {
            this.call = call;
            this.route = new RouteId(call.getRoute());
            this.offeredMillis = offeredMillis;
            this.deadlineMillis = offeredMillis + call.getDeadlineMillis();
            this.onAnswer = answered;
        }

        boolean isRunning() {
            return abort != null;
        }
    }

    UpstreamGate(EventLoop loop, UpstreamPool pool, LocalUpstream upstream, LoadMeter meter, Clock clock) {
        this.trafficLoop = loop;
        this.pool = pool;
        this.upstream = upstream;
        this.loadMeter = meter;
        this.clock = clock;
        // Slots are exact here, because nobody else reaches the upstream; there is no limit to find out.
        this.guard = new Guard(GuardSettings.defaults(upstream.slots())
                .withMechanisms(EnumSet.of(
                        Mechanism.CONCURRENCY_LIMIT, Mechanism.IMPORTANCE, Mechanism.FAIRNESS, Mechanism.DEADLINES)));
    }

    /** Takes what is known of the upstream now. Queued calls are refused when it takes no more work. */
    void upstream(LocalUpstream current) {
        if (!current.id().equals(upstream.id())) {
            pool.closeIdle();
            connectBackoffUntilMillis = Long.MIN_VALUE;
        }
        upstream = current;
        guard.configure(upstream.slots(), organisationWeights);
        if (!upstream.serving()) {
            refuseQueued();
        }
    }

    /** Sets the weight of each organisation in the queue. */
    void organisationWeights(Map<OrganisationId, Double> newWeights) {
        double all =
                newWeights.values().stream().mapToDouble(Double::doubleValue).sum();
        organisationWeights = new HashMap<>(newWeights);
        organisationWeights.put(NESTED_ORGANISATION, Math.max(1, all));
        guard.configure(upstream.slots(), organisationWeights);
    }

    /** Refuses all further calls; the running ones go on. */
    void stop() {
        stopping = true;
        refuseQueued();
    }

    boolean isIdle() {
        return pendingCalls.isEmpty();
    }

    /** Ends an interval of the load meter. */
    NodeLoad sampleLoad() {
        int slots = stopping || !upstream.serving() ? 0 : upstream.slots();
        return loadMeter.sample(slots, loadReport().queueDelayMillis());
    }

    /** Notes that calls of this node went to upstreams that take none; news of others is wanted soon. */
    void markUnderPressure() {
        loadMeter.recordPressure();
    }

    /** Returns whether the load presses; may be called from any thread. */
    boolean isUnderPressure() {
        return loadMeter.underPressure();
    }

    LoadReport loadReport() {
        return guard.report(clock.millis());
    }

    /**
     * Offers a call.
     *
     * @param answered takes the answer, once, unless the call is cancelled before
     * @return cancels the call; one that is not idempotent and runs already is left to end
     */
    Runnable offer(Call call, Consumer<CallAnswer> answered) {
        long now = clock.millis();
        CallAnswer refusal = refusalFor(call, now);
        if (refusal != null) {
            answered.accept(withLoad(refusal.toBuilder()));
            return () -> {};
        }
        long ticket = ++lastTicket;
        PendingCall entry = new PendingCall(call, now, answered);
        pendingCalls.put(ticket, entry);
        performActions(guard.offer(toGuardedCall(ticket, entry), now));
        if (guard.running() < pendingCalls.size()) {
            loadMeter.recordPressure();
        }
        scheduleTick();
        return () -> cancel(ticket, entry);
    }

    private GuardedCall toGuardedCall(long ticket, PendingCall entry) {
        Call call = entry.call;
        OrganisationId organisation = call.getNested()
                ? NESTED_ORGANISATION
                : call.getOrganisation().isEmpty() ? OPEN_ORGANISATION : new OrganisationId(call.getOrganisation());
        return new GuardedCall(
                ticket,
                organisation,
                call.getNested() ? NESTED_IMPORTANCE : Importance.of(call.getImportance()),
                call.getRootHash(),
                entry.deadlineMillis,
                call.getIdempotent());
    }

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
        return null;
    }

    private void refuseQueued() {
        for (Map.Entry<Long, PendingCall> entry : List.copyOf(pendingCalls.entrySet())) {
            if (!entry.getValue().isRunning()) {
                guard.cancel(entry.getKey(), clock.millis());
                complete(
                        entry.getKey(),
                        Refusals.refusal(ErrorKind.DRAINING, "the upstream stopped taking work while this waited"));
            }
        }
    }

    private void cancel(long ticket, PendingCall entry) {
        if (entry.cancelled || pendingCalls.get(ticket) != entry) {
            return;
        }
        entry.cancelled = true;
        if (!entry.isRunning()) {
            pendingCalls.remove(ticket);
            performActions(guard.cancel(ticket, clock.millis()));
        } else if (entry.call.getIdempotent()) {
            entry.abort.run();
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
        PendingCall entry = pendingCalls.get(ticket);
        entry.abort = () -> {};
        entry.startedMillis = clock.millis();
        RouteId route = entry.route;
        loadMeter.started(route, entry.startedMillis - entry.offeredMillis);
        var dispatch = new UpstreamPool.UpstreamRequest(entry.call, upstream.id(), entry.deadlineMillis);
        Runnable abort = pool.execute(dispatch, answer -> {
            loadMeter.ended(route, clock.millis() - entry.startedMillis);
            handleAnswer(ticket, answer);
        });
        if (pendingCalls.get(ticket) == entry) {
            entry.abort = abort;
        }
    }

    private void handleAnswer(long ticket, CallAnswer answer) {
        long now = clock.millis();
        if (Refusals.isRefusal(answer, ErrorKind.NO_UPSTREAM)) {
            connectBackoffUntilMillis = now + CONNECT_BACKOFF_MILLIS;
        }
        complete(ticket, answer);
        boolean succeeded = !Refusals.isRefusal(answer) && answer.getStatus() < 500;
        performActions(guard.finish(ticket, succeeded, now));
    }

    private void complete(long ticket, CallAnswer answer) {
        PendingCall entry = pendingCalls.remove(ticket);
        if (entry != null && !entry.cancelled) {
            boolean makesCalls = loadMeter.makesCalls(entry.route);
            entry.onAnswer.accept(withLoad(answer.toBuilder().setMakesCalls(makesCalls)));
        }
    }

    /** Adds the load, by which the nodes that place calls choose among upstreams. */
    private CallAnswer withLoad(CallAnswer.Builder answer) {
        LoadReport load = loadReport();
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
        for (PendingCall entry : List.copyOf(pendingCalls.values())) {
            if (entry.isRunning() && now > entry.deadlineMillis + ABORT_DELAY_MILLIS) {
                entry.abort.run();
            }
        }
        scheduleTick();
    }
}
