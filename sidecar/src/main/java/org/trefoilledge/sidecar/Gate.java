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
final class Gate {
    /** Stands for the upstreams' own calls, which carry no organisation. */
    static final OrganisationId NESTED = new OrganisationId("nested");

    /** Calls of requests that have begun go before new requests, except the most important ones. */
    private static final Importance NESTED_IMPORTANCE = Importance.HIGH;

    private static final OrganisationId OPEN = new OrganisationId("open");
    private static final long TICK_MILLIS = 20;
    /** Interval while nothing is queued; a call that is queued meanwhile starts the shorter one. */
    private static final long IDLE_TICK_MILLIS = 200;
    /** Time after its deadline at which a call that the upstream still holds is broken off. */
    private static final long OVERDUE_MILLIS = 1_000;
    /** Time for which calls are refused after the upstream accepted no connection. */
    private static final long UNREACHABLE_MILLIS = 300;

    private final EventLoop loop;
    private final UpstreamPool pool;
    private final Clock clock;
    private final LoadMeter meter;
    private final Map<Long, Pending> pending = new HashMap<>();
    private final Guard guard;
    private LocalUpstream upstream;
    private Map<OrganisationId, Double> weights = Map.of();
    private ScheduledFuture<?> ticker;
    private boolean tickerIsQuick;
    private long tickets;
    private long unreachableUntil = Long.MIN_VALUE;
    private boolean stopping;

    private static final class Pending {
        private final Call call;
        private final RouteId route;
        private final long deadlineMillis;
        private final Consumer<CallAnswer> answered;
        private final long offeredMillis;
        private long startedMillis;
        private Runnable abort;
        private boolean cancelled;

        Pending(Call call, long offeredMillis, Consumer<CallAnswer> answered) {
            this.call = call;
            this.route = new RouteId(call.getRoute());
            this.offeredMillis = offeredMillis;
            this.deadlineMillis = offeredMillis + call.getDeadlineMillis();
            this.answered = answered;
        }

        boolean running() {
            return abort != null;
        }
    }

    Gate(EventLoop loop, UpstreamPool pool, LocalUpstream upstream, LoadMeter meter, Clock clock) {
        this.loop = loop;
        this.pool = pool;
        this.upstream = upstream;
        this.meter = meter;
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
            unreachableUntil = Long.MIN_VALUE;
        }
        upstream = current;
        guard.configure(upstream.slots(), weights);
        if (!upstream.serving()) {
            refuseQueued();
        }
    }

    /** Sets the weight of each organisation in the queue. */
    void weights(Map<OrganisationId, Double> newWeights) {
        double all =
                newWeights.values().stream().mapToDouble(Double::doubleValue).sum();
        weights = new HashMap<>(newWeights);
        weights.put(NESTED, Math.max(1, all));
        guard.configure(upstream.slots(), weights);
    }

    /** Refuses all further calls; the running ones go on. */
    void stop() {
        stopping = true;
        refuseQueued();
    }

    boolean idle() {
        return pending.isEmpty();
    }

    /** Ends an interval of the load meter. */
    NodeLoad sample() {
        int slots = stopping || !upstream.serving() ? 0 : upstream.slots();
        return meter.sample(slots, report().queueDelayMillis());
    }

    /** Notes that calls of this node went to upstreams that take none; news of others is wanted soon. */
    void press() {
        meter.recordPressure();
    }

    /** Returns whether the load presses; may be called from any thread. */
    boolean pressing() {
        return meter.underPressure();
    }

    LoadReport report() {
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
        CallAnswer refusal = refusal(call, now);
        if (refusal != null) {
            answered.accept(reported(refusal.toBuilder()));
            return () -> {};
        }
        long ticket = ++tickets;
        Pending entry = new Pending(call, now, answered);
        pending.put(ticket, entry);
        perform(guard.offer(guarded(ticket, entry), now));
        if (guard.running() < pending.size()) {
            meter.recordPressure();
        }
        startTicker();
        return () -> cancel(ticket, entry);
    }

    private GuardedCall guarded(long ticket, Pending entry) {
        Call call = entry.call;
        OrganisationId organisation = call.getNested()
                ? NESTED
                : call.getOrganisation().isEmpty() ? OPEN : new OrganisationId(call.getOrganisation());
        return new GuardedCall(
                ticket,
                organisation,
                call.getNested() ? NESTED_IMPORTANCE : Importance.of(call.getImportance()),
                call.getRootHash(),
                entry.deadlineMillis,
                call.getIdempotent());
    }

    private CallAnswer refusal(Call call, long now) {
        if (!call.getService().equals(upstream.service().value())) {
            return Refusals.refusal(ErrorKind.NO_UPSTREAM, "another service has this address now");
        }
        if (stopping || upstream.state() == LocalUpstream.State.DRAINING) {
            return Refusals.refusal(ErrorKind.DRAINING, "the upstream takes no new work");
        }
        if (upstream.state() == LocalUpstream.State.GONE || now < unreachableUntil) {
            return Refusals.refusal(ErrorKind.NO_UPSTREAM, "no upstream is announced or it accepts no connection");
        }
        return null;
    }

    private void refuseQueued() {
        for (Map.Entry<Long, Pending> entry : List.copyOf(pending.entrySet())) {
            if (!entry.getValue().running()) {
                guard.cancel(entry.getKey(), clock.millis());
                complete(
                        entry.getKey(),
                        Refusals.refusal(ErrorKind.DRAINING, "the upstream stopped taking work while this waited"));
            }
        }
    }

    private void cancel(long ticket, Pending entry) {
        if (entry.cancelled || pending.get(ticket) != entry) {
            return;
        }
        entry.cancelled = true;
        if (!entry.running()) {
            pending.remove(ticket);
            perform(guard.cancel(ticket, clock.millis()));
        } else if (entry.call.getIdempotent()) {
            entry.abort.run();
        }
    }

    private void perform(List<GuardAction> actions) {
        for (GuardAction action : actions) {
            if (action instanceof GuardAction.Run run) {
                run(run.ticket());
            } else if (action instanceof GuardAction.Refuse refuse) {
                complete(
                        refuse.ticket(),
                        Refusals.refusal(refuse.kind(), refuse.retryAfterMillis(), "the upstream's queue"));
            }
        }
    }

    private void run(long ticket) {
        Pending entry = pending.get(ticket);
        entry.abort = () -> {};
        entry.startedMillis = clock.millis();
        RouteId route = entry.route;
        meter.started(route, entry.startedMillis - entry.offeredMillis);
        var dispatch = new UpstreamPool.Dispatch(entry.call, upstream.id(), entry.deadlineMillis);
        Runnable abort = pool.execute(dispatch, answer -> {
            meter.ended(route, clock.millis() - entry.startedMillis);
            finished(ticket, answer);
        });
        if (pending.get(ticket) == entry) {
            entry.abort = abort;
        }
    }

    private void finished(long ticket, CallAnswer answer) {
        long now = clock.millis();
        if (Refusals.is(answer, ErrorKind.NO_UPSTREAM)) {
            unreachableUntil = now + UNREACHABLE_MILLIS;
        }
        complete(ticket, answer);
        boolean succeeded = !Refusals.isRefusal(answer) && answer.getStatus() < 500;
        perform(guard.finish(ticket, succeeded, now));
    }

    private void complete(long ticket, CallAnswer answer) {
        Pending entry = pending.remove(ticket);
        if (entry != null && !entry.cancelled) {
            boolean makesCalls = meter.makesCalls(entry.route);
            entry.answered.accept(reported(answer.toBuilder().setMakesCalls(makesCalls)));
        }
    }

    /** Adds the load, by which the nodes that place calls choose among upstreams. */
    private CallAnswer reported(CallAnswer.Builder answer) {
        LoadReport load = report();
        return answer.setInFlight(load.inFlight())
                .setLimit(load.limit())
                .setQueueDelayMillis((int) load.queueDelayMillis())
                .build();
    }

    private void startTicker() {
        boolean queued = guard.running() < pending.size();
        if (ticker != null && queued && !tickerIsQuick) {
            ticker.cancel(false);
            ticker = null;
        }
        if (ticker == null && !pending.isEmpty()) {
            tickerIsQuick = queued;
            ticker = loop.schedule(this::tick, queued ? TICK_MILLIS : IDLE_TICK_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void tick() {
        ticker = null;
        long now = clock.millis();
        perform(guard.tick(now));
        for (Pending entry : List.copyOf(pending.values())) {
            if (entry.running() && now > entry.deadlineMillis + OVERDUE_MILLIS) {
                entry.abort.run();
            }
        }
        startTicker();
    }
}
