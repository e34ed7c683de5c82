package org.trefoilledge.core.overload;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.trefoilledge.core.ErrorKind;
import org.trefoilledge.core.OrganisationId;
import org.trefoilledge.core.RouteId;

/**
 * Admission control in front of one upstream: decides which calls run, in which order, and which are refused. Not
 * thread-safe: the caller holds one lock around every method. It performs the returned actions in order and calls
 * {@link #tick} every 10 ms.
 *
 * <p>Each offered call results in exactly one {@link GuardAction.Run} or {@link GuardAction.Refuse}, unless it is
 * cancelled while it is queued. A refused call has not run.
 */
public final class Guard {
    /** Interval at which the generation number increases. */
    private static final long GENERATION_MILLIS = 1_000;

    private static final long EXPIRY_SCAN_INTERVAL_MILLIS = 50;
    private static final long MIN_RETRY_AFTER_MILLIS = 250;
    /** Key of the flow that all organisations share when fairness is off. */
    private static final OrganisationId SHARED_FLOW = new OrganisationId("all");

    private final GuardSettings settings;
    private final CallLimit limit;
    private final RouteTimes routeTimes = new RouteTimes();
    private final Map<OrganisationId, AdmissionLevel> admissionLevels = new HashMap<>();
    private final FairQueue[] queues;
    private final Map<Long, PendingCall> calls = new HashMap<>();
    private Map<OrganisationId, Double> weights = Map.of();
    private int slots;
    private int running;
    private int queued;
    private boolean drain;
    private long startMillis = -1;
    private long nowMillis;
    private long lastExpiryScanMillis;

    /** Creates a guard with the announced slots and equal weights. */
    public Guard(GuardSettings settings) {
        this(
                settings,
                new ConcurrencyLimit(
                        settings.slots(),
                        settings.isEnabled(Mechanism.ADAPTIVE_LIMIT),
                        settings.isEnabled(Mechanism.COLD_START)));
    }

    private Guard(GuardSettings settings, CallLimit limit) {
        this.settings = settings;
        this.slots = settings.slots();
        this.limit = limit;
        this.queues = new FairQueue[settings.isEnabled(Mechanism.IMPORTANCE) ? 4 : 1];
        for (int i = 0; i < queues.length; i++) {
            queues[i] = new FairQueue(settings.delayTargetMillis(), settings.delayWindowMillis());
        }
    }

    /** Creates a guard that learns its concurrency limit by {@link LearnedCapacity} instead of the adaptive limit. */
    public static Guard withLearnedCapacity(GuardSettings settings) {
        return new Guard(settings, new LearnedCapacity(settings.slots()));
    }

    /**
     * Sets the announced slots and the weight of each organisation, which is its rate. Organisations without an entry
     * have weight 1.
     */
    public void configure(int newSlots, Map<OrganisationId, Double> newWeights) {
        if (newSlots < 1) {
            throw new IllegalArgumentException("slots must be at least 1, but was: " + newSlots);
        }
        newWeights.forEach(Guard::checkWeight);
        slots = newSlots;
        weights = Map.copyOf(newWeights);
        admissionLevels.entrySet().removeIf(entry -> entry.getValue().isIdle() && !weights.containsKey(entry.getKey()));
        limit.resize(newSlots);
        for (FairQueue queue : queues) {
            queue.updateWeights(weights);
        }
    }

    /** Offers a call for admission. The returned actions may also concern other calls, which the new call evicts. */
    public List<GuardAction> offer(GuardedCall call, long now) {
        advanceClock(now);
        if (drain) {
            return List.of(refusal(call, ErrorKind.DRAINING));
        }
        limit.offer(now);
        OrganisationId organisation = flowKey(call.organisation());
        AdmissionLevel level = levelOf(organisation);
        int rank = call.rank();
        if (rank < level.value() && settings.isEnabled(Mechanism.ADMISSION_LEVEL) && !hasFreeSlot()) {
            return List.of(refusal(call, ErrorKind.OVERLOADED));
        }
        level.countArrived(rank);
        if (cannotMeetDeadline(call)) {
            return List.of(refusal(call, ErrorKind.DEADLINE_EXCEEDED));
        }
        FairQueue queue = queueOf(call);
        return enqueue(call, queue, queue.flowOf(organisation, weights), level);
    }

    /**
     * Frees the slot of a running call that has ended. Must also be called for a cancelled running call when the
     * upstream has stopped executing it.
     *
     * @param succeeded whether the upstream completed the call; the latency of other calls is only a lower bound of the
     *     service time
     */
    public List<GuardAction> finish(long ticket, boolean succeeded, long now) {
        return finish(ticket, succeeded ? CallEnd.COMPLETED : CallEnd.FAILED, now);
    }

    /** Frees the slot of a running call that has ended in the given way, see {@link #finish(long, boolean, long)}. */
    public List<GuardAction> finish(long ticket, CallEnd end, long now) {
        advanceClock(now);
        PendingCall call = calls.get(ticket);
        if (call == null || !call.running) {
            return List.of();
        }
        calls.remove(ticket);
        running--;
        limit.end(call, end, now);
        routeTimes.recordEnd(call.call.route(), (double) (now - call.startedMillis), end.succeeded());
        return dispatch(new ArrayList<>(2));
    }

    /**
     * Cancels a call for its sender. A queued call is removed without an action; a running call keeps its slot until
     * {@link #finish}.
     */
    public List<GuardAction> cancel(long ticket, long now) {
        advanceClock(now);
        PendingCall call = calls.get(ticket);
        if (call != null && !call.running) {
            removeFromQueue(call);
        }
        return List.of();
    }

    /** Updates the admission levels, refuses expired calls and dispatches queued calls up to the current limit. */
    public List<GuardAction> tick(long now) {
        advanceClock(now);
        List<GuardAction> actions = new ArrayList<>();
        for (FairQueue queue : queues) {
            queue.updateStandingDelay(now);
        }
        if (settings.isEnabled(Mechanism.ADMISSION_LEVEL)) {
            admissionLevels.values().forEach(level -> level.update(now));
        }
        if (queued > 0 && now - lastExpiryScanMillis >= EXPIRY_SCAN_INTERVAL_MILLIS) {
            lastExpiryScanMillis = now;
            refuseExpired(actions);
        }
        return dispatch(actions);
    }

    /** Starts draining: new calls are refused, queued and running calls continue. */
    public void drain() {
        drain = true;
    }

    /**
     * Returns the load at the given time. Its admission level is the minimum over all organisations;
     * {@link #report(long, OrganisationId)} returns the level of one organisation.
     */
    public LoadReport report(long now) {
        if (!settings.isEnabled(Mechanism.ADMISSION_LEVEL)) {
            return report(now, 0);
        }
        int lowest = admissionLevels.values().stream()
                .mapToInt(AdmissionLevel::value)
                .min()
                .orElse(0);
        return report(now, lowest);
    }

    /** Returns the load at the given time with the admission level of the given organisation. */
    public LoadReport report(long now, OrganisationId organisation) {
        AdmissionLevel level = admissionLevels.get(flowKey(organisation));
        return report(now, level == null ? 0 : level.value());
    }

    /** Forgets the learned capacity, because another upstream has taken the place of the previous one. */
    public void restartLearning() {
        limit.restart();
    }

    /** Returns the mean time in milliseconds that calls of a route take now, 0 if it is not learned or not known. */
    public double serviceTimeMillis(RouteId route, long now) {
        return limit.serviceTimeMillis(route, now);
    }

    /** Returns the learned speed near the limit relative to the speed at low concurrency, 1 if it is not known. */
    public double relativeSpeed() {
        return limit.relativeSpeed();
    }

    /** Returns the number of running calls. */
    public int running() {
        return running;
    }

    /** Returns the generation number, which increases by one every second. */
    public long generation() {
        long elapsed = startMillis < 0 ? 0 : nowMillis - startMillis;
        return settings.firstGeneration() + elapsed / GENERATION_MILLIS;
    }

    /**
     * Returns whether a dispatch with the given generation may run, relative to the latest time passed to this guard.
     * A generation that is two or more behind is stale; a greater one comes from another incarnation of the node.
     */
    public boolean acceptsGeneration(long stamped) {
        long own = generation();
        return stamped <= own && stamped > own - 2;
    }

    /** Returns whether a dispatch with the given generation may run at the given time, also right after a pause. */
    public boolean acceptsGeneration(long stamped, long now) {
        advanceClock(now);
        return acceptsGeneration(stamped);
    }

    private LoadReport report(long now, int admissionLevel) {
        long delay = 0;
        for (FairQueue queue : queues) {
            delay = Math.max(delay, queue.delayMillis(now));
        }
        return new LoadReport(running, limit.reported(now), delay, admissionLevel);
    }

    private static void checkWeight(OrganisationId organisation, double weight) {
        if (!(weight > 0) || Double.isInfinite(weight)) {
            throw new IllegalArgumentException("weight of " + organisation + " must be positive, but was: " + weight);
        }
    }

    private void advanceClock(long now) {
        if (startMillis < 0) {
            startMillis = now;
            nowMillis = now;
        }
        nowMillis = Math.max(nowMillis, now);
    }

    private FairQueue queueOf(GuardedCall call) {
        return queues[queues.length == 1 ? 0 : AdmissionLevel.classIndex(call.importance())];
    }

    private OrganisationId flowKey(OrganisationId organisation) {
        return settings.isEnabled(Mechanism.FAIRNESS) ? organisation : SHARED_FLOW;
    }

    private AdmissionLevel levelOf(OrganisationId organisation) {
        AdmissionLevel existing = admissionLevels.get(organisation);
        if (existing != null) {
            return existing;
        }
        AdmissionLevel created = new AdmissionLevel();
        admissionLevels.put(organisation, created);
        return created;
    }

    /** Returns whether a slot is free and no call is queued, in which case a refusal would waste the slot. */
    private boolean hasFreeSlot() {
        return queued == 0 && running < concurrencyLimit();
    }

    private boolean newestFirst(FairQueue queue) {
        return queue.hasStandingDelay() && settings.isEnabled(Mechanism.NEWEST_FIRST);
    }

    /**
     * Returns whether the call has expired, or has less time left than calls of its route usually need.
     */
    private boolean cannotMeetDeadline(GuardedCall call) {
        long remaining = call.deadlineMillis() - nowMillis;
        if (remaining <= 0) {
            return true;
        }
        return settings.isEnabled(Mechanism.DEADLINES) && routeTimes.usuallyExceeds(call.route(), remaining);
    }

    private List<GuardAction> enqueue(GuardedCall call, FairQueue queue, Flow flow, AdmissionLevel level) {
        PendingCall evicted = null;
        if (queue.size() >= queueCapacity()) {
            evicted = selectCallToEvict(queue, flow);
            if (evicted == null) {
                level.countRefused(call.rank());
                return List.of(refusal(call, ErrorKind.OVERLOADED));
            }
        }
        PendingCall pending = new PendingCall(call, level, nowMillis);
        if (calls.putIfAbsent(call.ticket(), pending) != null) {
            throw new IllegalArgumentException("ticket is already in use: " + call.ticket());
        }
        queue.add(flow, pending);
        level.countQueued();
        queued++;
        if (evicted == null && running >= concurrencyLimit()) {
            return List.of();
        }
        List<GuardAction> actions = new ArrayList<>(2);
        if (evicted != null) {
            evict(evicted, ErrorKind.OVERLOADED, actions);
        }
        return dispatch(actions);
    }

    /** Returns the queued call to evict from a full queue, or null if the arriving call is to be refused. */
    private PendingCall selectCallToEvict(FairQueue queue, Flow arriving) {
        Flow largest = queue.largestBacklog(arriving);
        if (newestFirst(queue)) {
            return largest.oldest;
        }
        return largest == arriving ? null : largest.newest;
    }

    private int queueCapacity() {
        return Math.max(settings.minQueueCapacity(), settings.queuedCallsPerSlot() * slots);
    }

    private int concurrencyLimit() {
        return settings.isEnabled(Mechanism.CONCURRENCY_LIMIT) ? limit.current(nowMillis) : Integer.MAX_VALUE;
    }

    private List<GuardAction> dispatch(List<GuardAction> actions) {
        while (queued > 0 && running < concurrencyLimit()) {
            PendingCall next = peekNext();
            if (cannotMeetDeadline(next.call)) {
                evict(next, ErrorKind.DEADLINE_EXCEEDED, actions);
                continue;
            }
            next.flow.queue.remove(next);
            next.admissionLevel.countDequeued();
            next.admissionLevel.countStarted();
            queued--;
            next.flow.queue.charge(next.flow);
            next.running = true;
            next.startedMillis = nowMillis;
            running++;
            routeTimes.recordStart(next.call.route());
            limit.start(next, running, nowMillis);
            actions.add(new GuardAction.Run(next.call.ticket()));
        }
        return actions;
    }

    private PendingCall peekNext() {
        for (FairQueue queue : queues) {
            if (queue.size() > 0) {
                return queue.peek(newestFirst(queue));
            }
        }
        throw new IllegalStateException("no call is queued");
    }

    private void refuseExpired(List<GuardAction> actions) {
        for (FairQueue queue : queues) {
            queue.forEach(call -> {
                if (cannotMeetDeadline(call.call)) {
                    evict(call, ErrorKind.DEADLINE_EXCEEDED, actions);
                }
            });
        }
    }

    private void evict(PendingCall call, ErrorKind kind, List<GuardAction> actions) {
        removeFromQueue(call);
        call.admissionLevel.countRefused(call.call.rank());
        actions.add(refusal(call.call, kind));
    }

    private void removeFromQueue(PendingCall call) {
        calls.remove(call.call.ticket());
        call.flow.queue.remove(call);
        call.admissionLevel.countDequeued();
        queued--;
    }

    private GuardAction refusal(GuardedCall call, ErrorKind kind) {
        return new GuardAction.Refuse(call.ticket(), kind, retryAfterMillis(call, kind));
    }

    /** Returns one to three times the minimum for an overload, with jitter from a hash of the call; otherwise 0. */
    private static long retryAfterMillis(GuardedCall call, ErrorKind kind) {
        if (kind != ErrorKind.OVERLOADED) {
            return 0;
        }
        long mixed = ((call.ticket() ^ call.rootHash()) * 0x9E3779B97F4A7C15L) >>> 32;
        return MIN_RETRY_AFTER_MILLIS + mixed % (2 * MIN_RETRY_AFTER_MILLIS);
    }
}
