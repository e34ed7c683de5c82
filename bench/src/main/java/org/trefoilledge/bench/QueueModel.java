package org.trefoilledge.bench;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.DoubleUnaryOperator;
import java.util.function.Predicate;
import org.trefoilledge.core.Importance;
import org.trefoilledge.core.OrganisationId;
import org.trefoilledge.core.RouteId;
import org.trefoilledge.core.overload.Guard;
import org.trefoilledge.core.overload.GuardAction;
import org.trefoilledge.core.overload.GuardSettings;
import org.trefoilledge.core.overload.GuardedCall;
import org.trefoilledge.core.overload.LoadReport;
import org.trefoilledge.core.overload.SheddingTable;

/**
 * One upstream with exponential service times behind a guard and an entry node, driven by open-loop Poisson sources
 * on a virtual clock. Calls that the guard runs beyond the upstream's workers wait inside the upstream.
 */
final class QueueModel {
    static final long PATIENCE_MILLIS = 500;
    private static final RouteId ROUTE = new RouteId("route");
    private static final double HOP_MILLIS = 1;

    final List<Request> requests = new ArrayList<>();
    int executions;
    int wasted;
    DoubleUnaryOperator slowdown = time -> 1;
    boolean shedding;
    long retryMillis = -1;

    private final Guard guard;
    private final SheddingTable table = new SheddingTable();
    private final int workers;
    private final double serviceMillis;
    private final SplittableRandom random;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final Map<Long, Attempt> attempts = new HashMap<>();
    private final Deque<Attempt> waiting = new ArrayDeque<>();
    private int busy;
    private long sequence;
    private double now;

    /** One request of a caller, which may take several attempts. */
    static final class Request {
        OrganisationId organisation;
        Importance importance;
        int rootHash;
        double arrived;
        double served = -1;
        int retriesLeft;
    }

    private static final class Attempt {
        Request request;
        long ticket;
        long deadline;
        boolean abandoned;
        boolean executing;
        boolean ended;
    }

    private record Event(double time, long order, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Double.compare(time, other.time);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    QueueModel(GuardSettings settings, int workers, double serviceMillis, long seed) {
        this.guard = new Guard(settings);
        this.workers = workers;
        this.serviceMillis = serviceMillis;
        this.random = new SplittableRandom(seed);
        at(0, this::tick);
    }

    /** Adds a source whose rate, in requests per second, depends on time and must not exceed the given peak. */
    void source(String organisation, Importance importance, double peak, DoubleUnaryOperator rate, int retries) {
        at(now + random.nextExponential() * 1000 / peak, () -> {
            if (random.nextDouble() * peak < rate.applyAsDouble(now)) {
                Request request = new Request();
                request.organisation = new OrganisationId(organisation);
                request.importance = importance;
                request.rootHash = random.nextInt();
                request.arrived = now;
                request.retriesLeft = retries;
                requests.add(request);
                attempt(request);
            }
            source(organisation, importance, peak, rate, retries);
        });
    }

    void run(double untilMillis) {
        while (events.peek().time <= untilMillis) {
            Event event = events.poll();
            now = event.time;
            event.action.run();
        }
    }

    LoadReport report() {
        return guard.report((long) now);
    }

    /** Returns the share of matching requests that arrived in the interval and were served. */
    double served(double from, double to, Predicate<Request> filter) {
        long all = 0;
        long served = 0;
        for (Request request : requests) {
            if (request.arrived >= from && request.arrived < to && filter.test(request)) {
                all++;
                served += request.served >= 0 ? 1 : 0;
            }
        }
        return (double) served / all;
    }

    /** Returns the served requests per second in the interval. */
    double goodput(double from, double to) {
        long good =
                requests.stream().filter(r -> r.served >= from && r.served < to).count();
        return good * 1000 / (to - from);
    }

    /** Returns the mean time from arrival to response of the requests served after the cold start. */
    double latencyMillis() {
        return requests.stream()
                .filter(r -> r.served >= 5_000)
                .mapToDouble(r -> r.served - r.arrived)
                .average()
                .orElse(0);
    }

    /** Returns the share of executions whose caller had given up before they ended. */
    double wastedShare() {
        return (double) wasted / executions;
    }

    /** Returns the time from which the goodput of one second reaches the given figure. */
    double reaches(double goodput, double from) {
        double start = from;
        while (start < now - 1000 && goodput(start, start + 1000) < goodput) {
            start += 50;
        }
        return start - from;
    }

    private void at(double time, Runnable action) {
        events.add(new Event(time, sequence++, action));
    }

    private void tick() {
        perform(guard.tick((long) now));
        at(now + 10, this::tick);
    }

    private void attempt(Request request) {
        Attempt attempt = new Attempt();
        attempt.request = request;
        attempt.ticket = sequence++;
        attempt.deadline = (long) now + PATIENCE_MILLIS;
        if (shedding && !table.admits(ROUTE, request.organisation, request.importance, request.rootHash, (long) now)) {
            again(request, table.retryAfterMillis(ROUTE, request.organisation, (long) now, random));
            return;
        }
        attempts.put(attempt.ticket, attempt);
        at(now + HOP_MILLIS, () -> offer(attempt));
        at((double) attempt.deadline, () -> abandon(attempt));
    }

    private void offer(Attempt attempt) {
        Request r = attempt.request;
        perform(guard.offer(
                new GuardedCall(attempt.ticket, r.organisation, r.importance, r.rootHash, attempt.deadline, true),
                (long) now));
    }

    private void abandon(Attempt attempt) {
        if (attempt.ended) {
            return;
        }
        attempt.abandoned = true;
        again(attempt.request, 0);
        perform(guard.cancel(attempt.ticket, (long) now));
        if (attempt.executing || waiting.remove(attempt)) {
            end(attempt, attempt.executing);
        }
    }

    private void again(Request request, long retryAfterMillis) {
        if (request.retriesLeft-- > 0) {
            at(now + (retryMillis >= 0 ? retryMillis : Math.max(1, retryAfterMillis)), () -> attempt(request));
        }
    }

    private void perform(List<GuardAction> actions) {
        for (GuardAction action : actions) {
            Attempt attempt = attempts.get(action.ticket());
            if (action instanceof GuardAction.Refuse refuse) {
                attempt.ended = true;
                attempts.remove(action.ticket());
                respond(attempt.request, () -> again(attempt.request, refuse.retryAfterMillis()));
            } else {
                executions++;
                waiting.add(attempt);
                startNext();
            }
        }
    }

    private void respond(Request request, Runnable action) {
        int level = guard.report((long) now, request.organisation).admissionLevel();
        at(now + HOP_MILLIS, () -> {
            table.observe(ROUTE, request.organisation, level, (long) now);
            action.run();
        });
    }

    private void startNext() {
        if (busy < workers && !waiting.isEmpty()) {
            Attempt attempt = waiting.poll();
            attempt.executing = true;
            busy++;
            double time = random.nextExponential() * serviceMillis * slowdown.applyAsDouble(now);
            at(now + time, () -> end(attempt, true));
        }
    }

    private void end(Attempt attempt, boolean executing) {
        if (attempt.ended) {
            return;
        }
        attempt.ended = true;
        attempts.remove(attempt.ticket);
        busy -= executing ? 1 : 0;
        wasted += attempt.abandoned ? 1 : 0;
        if (!attempt.abandoned) {
            double served = now + HOP_MILLIS;
            respond(attempt.request, () -> attempt.request.served = served);
        }
        startNext();
        perform(guard.finish(attempt.ticket, !attempt.abandoned, (long) now));
    }
}
