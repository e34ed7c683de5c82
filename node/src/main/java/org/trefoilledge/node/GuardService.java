package org.trefoilledge.node;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.trefoilledge.core.Clock;
import org.trefoilledge.core.ErrorKind;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.OrganisationId;
import org.trefoilledge.core.RouteId;
import org.trefoilledge.core.config.Organisation;
import org.trefoilledge.core.overload.Guard;
import org.trefoilledge.core.overload.GuardAction;
import org.trefoilledge.core.overload.GuardSettings;
import org.trefoilledge.core.overload.GuardedCall;
import org.trefoilledge.core.overload.LoadReport;
import org.trefoilledge.wire.generated.Call;
import org.trefoilledge.wire.generated.CallAnswer;

/** Stands in front of the upstream on this host: admits, queues, executes and cancels calls. */
final class GuardService {
    private static final Logger LOG = LoggerFactory.getLogger(GuardService.class);

    private final HostId host;
    private final Guard guard;
    private final UpstreamClient client;
    private final Contexts contexts;
    private final Supplier<Snapshot> snapshots;
    private final Decisions decisions;
    private final Clock clock;
    private final AtomicLong tickets = new AtomicLong();
    private final AtomicInteger active = new AtomicInteger();
    private final Map<Long, Pending> pending = new ConcurrentHashMap<>();
    private final Object lock = new Object();
    private volatile Optional<Announcement> announcement = Optional.empty();
    private volatile boolean stopping;

    GuardService(
            HostId host,
            GuardSettings settings,
            UpstreamClient client,
            Contexts contexts,
            Supplier<Snapshot> snapshots,
            Decisions decisions,
            Clock clock) {
        this.host = host;
        this.guard = new Guard(settings);
        this.client = client;
        this.contexts = contexts;
        this.snapshots = snapshots;
        this.decisions = decisions;
        this.clock = clock;
    }

    private static final class Pending {
        private final Call call;
        private final long receivedMillis;
        private final CompletableFuture<CallAnswer> answer = new CompletableFuture<>();
        private volatile Runnable cancelExecution = () -> {};

        Pending(Call call, long receivedMillis) {
            this.call = call;
            this.receivedMillis = receivedMillis;
        }

        long leftMillis(long now) {
            return receivedMillis + call.getDeadlineMillis() - now;
        }
    }

    /** A call that was offered, with the action that cancels it. */
    record Offered(CompletableFuture<CallAnswer> answer, Runnable cancel) {}

    /** Takes the announcement of the local upstream. Its first one, or one after a gap, starts the cold-start ramp. */
    void announce(Announcement current) {
        Optional<Announcement> before = announcement;
        announcement = Optional.of(current);
        client.connections(current.connections());
        if (before.isEmpty() || before.get().slots() != current.slots()) {
            configure();
        }
        if (before.isEmpty() || before.get().state() != current.state()) {
            LOG.info("guard: upstream of {} is {}.", current.service(), current.state());
        }
    }

    /** Applies the weights of the organisations after a change of the configuration. */
    void configure() {
        Optional<Announcement> current = announcement;
        if (current.isEmpty()) {
            return;
        }
        Map<OrganisationId, Double> weights = snapshots.get().inventory().organisations().values().stream()
                .collect(Collectors.toMap(Organisation::id, Organisation::rate));
        synchronized (lock) {
            guard.configure(current.get().slots(), weights);
        }
    }

    Optional<Announcement> announcement() {
        return announcement;
    }

    boolean serving(long now) {
        return !stopping && refusalBeforeQueue(now).isEmpty();
    }

    void stop() {
        stopping = true;
    }

    /** Returns the number of calls that are queued or running. */
    int active() {
        return active.get();
    }

    LoadReport report(long now) {
        synchronized (lock) {
            return guard.report(now);
        }
    }

    void tick(long now) {
        List<GuardAction> actions;
        synchronized (lock) {
            actions = guard.tick(now);
        }
        perform(actions);
    }

    /** Offers a call. The answer arrives when it was executed or refused. */
    Offered offer(Call call) {
        long now = clock.millis();
        boolean claimed = !call.getIdempotencyKey().isEmpty() && !call.getIdempotent();
        if (claimed && !acceptsGeneration(call.getGeneration(), now)) {
            CallAnswer.Builder refusal = refusal(ErrorKind.ARBITER_UNAVAILABLE, 0, "the dispatch was delayed")
                    .setStaleGeneration(true);
            return done(refusal.setUnusedBudget(call.getAttemptBudget()), now);
        }
        Optional<ErrorKind> refusal = refusalBeforeQueue(now);
        if (refusal.isPresent()) {
            return done(refusal(refusal.get(), 0, "host " + host).setUnusedBudget(call.getAttemptBudget()), now);
        }
        return enqueue(call, now);
    }

    private Offered enqueue(Call call, long now) {
        long ticket = tickets.incrementAndGet();
        Pending waiting = new Pending(call, now);
        pending.put(ticket, waiting);
        active.incrementAndGet();
        GuardedCall guarded = new GuardedCall(
                ticket,
                new OrganisationId(call.getOrganisation()),
                CallMessages.importance(call),
                new RouteId(call.getRoute()),
                call.getRootHash(),
                now + call.getDeadlineMillis(),
                call.getIdempotent());
        List<GuardAction> actions;
        synchronized (lock) {
            actions = guard.offer(guarded, now);
        }
        perform(actions);
        return new Offered(waiting.answer, () -> cancel(ticket));
    }

    private boolean acceptsGeneration(long stamped, long now) {
        synchronized (lock) {
            return guard.acceptsGeneration(stamped, now);
        }
    }

    private Optional<ErrorKind> refusalBeforeQueue(long now) {
        Optional<Announcement> current = announcement;
        if (stopping || snapshots.get().inventory().drainedHosts().contains(host)) {
            return Optional.of(ErrorKind.DRAINING);
        }
        if (current.isEmpty() || !current.get().valid(now)) {
            return Optional.of(ErrorKind.NO_UPSTREAM);
        }
        return switch (current.get().state()) {
            case STARTING -> Optional.of(ErrorKind.NO_UPSTREAM);
            case DRAINING -> Optional.of(ErrorKind.DRAINING);
            case SERVING -> Optional.empty();
        };
    }

    private void cancel(long ticket) {
        Pending waiting = pending.get(ticket);
        if (waiting == null) {
            return;
        }
        waiting.cancelExecution.run();
        List<GuardAction> actions;
        synchronized (lock) {
            actions = guard.cancel(ticket, clock.millis());
        }
        perform(actions);
        if (pending.remove(ticket) != null) {
            active.decrementAndGet();
            waiting.answer.cancel(false);
        }
    }

    private void perform(List<GuardAction> actions) {
        List<GuardAction> more = new ArrayList<>(actions);
        for (int i = 0; i < more.size(); i++) {
            if (more.get(i) instanceof GuardAction.Run run) {
                more.addAll(run(run.ticket()));
            } else if (more.get(i) instanceof GuardAction.Refuse refuse) {
                refuse(refuse);
            }
        }
    }

    private List<GuardAction> run(long ticket) {
        Pending waiting = pending.get(ticket);
        long now = clock.millis();
        if (waiting == null) {
            return withdraw(ticket, now);
        }
        Snapshot snapshot = snapshots.get();
        if (!CallMessages.stillGranted(waiting.call, snapshot)) {
            complete(ticket, refusal(ErrorKind.KEY_UNKNOWN, 0, "the key was withdrawn while the call was queued"));
            return withdraw(ticket, now);
        }
        execute(ticket, waiting, snapshot, now);
        return List.of();
    }

    private List<GuardAction> withdraw(long ticket, long now) {
        synchronized (lock) {
            return guard.cancel(ticket, now);
        }
    }

    private void execute(long ticket, Pending waiting, Snapshot snapshot, long now) {
        CallContext context = contexts.open(waiting.call, snapshot, waiting.receivedMillis);
        UpstreamClient.Execution execution = client.execute(
                waiting.call,
                announcement.orElseThrow().address(),
                host.value(),
                context.token(),
                Math.max(1, waiting.leftMillis(now)));
        waiting.cancelExecution = execution.cancel();
        var unused = execution.answer().whenComplete((answer, error) -> finished(ticket, context, answer));
    }

    private void finished(long ticket, CallContext context, Answer answer) {
        contexts.close(context);
        long now = clock.millis();
        boolean succeeded = answer.refusal().isEmpty() && answer.status() < 500;
        List<GuardAction> actions;
        synchronized (lock) {
            actions = guard.finish(ticket, succeeded, now);
        }
        complete(
                ticket,
                CallMessages.answer(answer)
                        .setUnusedBudget(Math.max(0, context.budget().get()))
                        .setAdmissionLevel(context.admissionLevel().get()));
        perform(actions);
    }

    private void refuse(GuardAction.Refuse refuse) {
        Pending waiting = pending.get(refuse.ticket());
        if (waiting == null) {
            return;
        }
        Call call = waiting.call;
        LOG.debug(
                "guard: call of {} on {} is refused with {}.", call.getOrganisation(), call.getRoute(), refuse.kind());
        decisions.refused("guard", call.getOrganisation(), call.getRoute(), refuse.kind(), "host " + host);
        complete(
                refuse.ticket(),
                refusal(refuse.kind(), refuse.retryAfterMillis(), "host " + host)
                        .setUnusedBudget(call.getAttemptBudget()));
    }

    private void complete(long ticket, CallAnswer.Builder answer) {
        Pending waiting = pending.remove(ticket);
        if (waiting != null) {
            active.decrementAndGet();
            waiting.answer.complete(reported(answer, clock.millis()));
        }
    }

    private Offered done(CallAnswer.Builder answer, long now) {
        return new Offered(CompletableFuture.completedFuture(reported(answer, now)), () -> {});
    }

    private CallAnswer reported(CallAnswer.Builder answer, long now) {
        CallMessages.report(answer, report(now));
        synchronized (lock) {
            return answer.setGeneration(guard.generation()).build();
        }
    }

    private static CallAnswer.Builder refusal(ErrorKind kind, long retryAfterMillis, String reason) {
        return CallAnswer.newBuilder()
                .setStatus(kind.status())
                .setRefusal(kind.name())
                .setRefusalReason(reason)
                .setRetryAfterMillis((int) retryAfterMillis);
    }
}
