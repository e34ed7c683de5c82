package org.trefoilledge.core.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.trefoilledge.core.RouteId;
import org.trefoilledge.core.ServiceId;
import org.trefoilledge.core.overload.AttemptOutcome;
import org.trefoilledge.core.overload.AttemptPolicy;
import org.trefoilledge.core.overload.RetryBudget;
import org.trefoilledge.core.overload.RetryThrottle;
import org.trefoilledge.core.overload.SlidingRetryThrottle;
import org.trefoilledge.core.routing.TrafficSplit;

/**
 * Call trees on a virtual clock whose deepest service rejects a part of its calls for some seconds. Planner, gates,
 * retry throttles and attempt policies are real. Load reports are late by one report interval, plans by another.
 */
final class FailingServiceReplay {
    static final ServiceId FRONT = new ServiceId("front");
    static final ServiceId DEEP = new ServiceId("deep");
    private static final RouteId LOOKUP = new RouteId("lookup");
    private static final int ROOT_NODES = 20;
    private static final int FRONT_NODES = 20;
    private static final int NODES = 83;
    private static final long LOOKUP_MILLIS = 25;
    private static final long ROOT_CALL_MILLIS = 350;
    private static final long REJECTION_MILLIS = 2;
    private static final long PLAN_DELAY_MILLIS = 100;
    private static final long FRONT_MILLIS = 30;
    private static final int MAX_ATTEMPTS = 3;
    private static final int MAX_CALLER_ATTEMPTS = 4;
    private static final double RETRY_RATIO = 0.2;
    private static final double RETRY_SLACK = 114;
    private static final double SHARE_ON = 0.7;
    private static final double SHARE_OFF = 0.3;

    private final Scenario scenario;
    private final SplittableRandom random;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::sequence));
    private final List<RootNode> rootNodes = new ArrayList<>();
    private final List<FrontNode> frontNodes = new ArrayList<>();
    private final List<Upstream> upstreams = new ArrayList<>();
    private final AdmissionPlanner planner;
    private final Map<String, Counts> counts = new TreeMap<>();
    private final Map<Long, Long> retriesBySecond = new TreeMap<>();
    private final Map<Long, Long> requestsBySecond = new TreeMap<>();
    private final StringBuilder trace = new StringBuilder();
    private AdmissionPlan plan = AdmissionPlan.ADMIT_ALL;
    private long now;
    private long sequence;

    /**
     * A class of root requests.
     *
     * @param nestedCalls calls to the deep service that one execution makes
     * @param rootIsDeep whether the root call itself is executed by the deep service
     * @param fromMillis start of the load
     */
    record Load(
            String name,
            int rank,
            double perSecond,
            int nestedCalls,
            boolean rootIsDeep,
            long deadlineMillis,
            long targetMillis,
            long fromMillis) {
        RequestClass requestClass() {
            return new RequestClass(new RouteId(name), rank);
        }
    }

    /**
     * A replay.
     *
     * @param treeAdmission whether the feature is on
     * @param rejection part of the calls that a failing upstream rejects
     * @param failingUpstreams number of upstreams that fail, of {@code upstreams}
     * @param reportMillis interval of the reports
     */
    record Scenario(
            boolean treeAdmission,
            List<Load> loads,
            double rejection,
            int failingUpstreams,
            int upstreams,
            int slots,
            long failFromMillis,
            long failUntilMillis,
            long endMillis,
            long reportMillis,
            long seed) {}

    /** Requests that began during the failure: all, completed at all, and within the target time. */
    static final class Counts {
        long offered;
        long completed;
        long inTime;
        long afterFailure;
        long completedAfterFailure;

        double completedShare() {
            return offered == 0 ? 0 : (double) completed / (double) offered;
        }

        double inTimeShare() {
            return offered == 0 ? 0 : (double) inTime / (double) offered;
        }

        double completedShareAfterFailure() {
            return afterFailure == 0 ? 0 : (double) completedAfterFailure / (double) afterFailure;
        }
    }

    private record Event(long atMillis, long sequence, Runnable action) {}

    private final class RootNode {
        private final AdmissionGate gate = new AdmissionGate();
        private final NodeMeter meter = new NodeMeter(FRONT, 0);
        private final RetryBudget budget = newBudget();
        private final TreeOutcomeLimit outcomes = new TreeOutcomeLimit();
    }

    private final class FrontNode {
        private final NodeMeter meter = new NodeMeter(FRONT, 200);
        private final RetryBudget budget = newBudget();
    }

    private final class Upstream {
        private final int number;
        private final NodeMeter meter;
        private final Deque<Runnable> queue = new ArrayDeque<>();

        Upstream(int number) {
            this.number = number;
            this.meter = new NodeMeter(DEEP, scenario.slots());
        }

        boolean failing() {
            return number < scenario.failingUpstreams()
                    && now >= scenario.failFromMillis()
                    && now < scenario.failUntilMillis();
        }

        /** Executes a call, or rejects it; the answer says whether it was executed. */
        void offer(RouteId route, long workMillis, Consumer<Boolean> onAnswer) {
            Runnable start = () -> {
                boolean rejected = failing() && random.nextDouble() < scenario.rejection();
                long held = rejected ? REJECTION_MILLIS : slowSometimes(workMillis);
                meter.started(route, now);
                schedule(held, () -> {
                    meter.ended(route, held, rejected, now);
                    onAnswer.accept(!rejected);
                    Runnable next = queue.poll();
                    if (next != null) {
                        next.run();
                    }
                });
            };
            if (meter.busy() < scenario.slots()) {
                start.run();
            } else {
                queue.add(start);
            }
        }
    }

    private FailingServiceReplay(Scenario scenario) {
        this.scenario = scenario;
        this.random = new SplittableRandom(scenario.seed());
        this.planner = scenario.treeAdmission()
                ? new AdmissionPlanner(new RetryBounds(RETRY_RATIO * SHARE_ON, RETRY_SLACK * SHARE_ON))
                : new AdmissionPlanner();
    }

    static FailingServiceReplay run(Scenario scenario) {
        FailingServiceReplay replay = new FailingServiceReplay(scenario);
        replay.run();
        return replay;
    }

    Set<String> classNames() {
        return counts.keySet();
    }

    Counts counts(String name) {
        return counts.get(name);
    }

    /** Returns the requests, the completed part and the completed part in time by class, and the plans in force. */
    String summary() {
        StringBuilder text = new StringBuilder();
        counts.forEach((name, count) -> text.append(String.format(
                "%s offered %d completed %.3f in time %.3f after %.3f; ",
                name, count.offered, count.completedShare(), count.inTimeShare(), count.completedShareAfterFailure())));
        return text.append(String.format("most retries %.2f of the bound%n", highestRetryShare()))
                .append(trace)
                .toString();
    }

    /** Returns the retries of the window of 10 s that comes closest to its bound, as a part of that bound. */
    double highestRetryShare() {
        double highest = 0;
        for (long second = 0; second * 1_000 < scenario.endMillis(); second++) {
            double base = Math.max(
                    Math.max(
                            sum(requestsBySecond, second - 10, second),
                            sum(requestsBySecond, second - 20, second - 10)),
                    sum(requestsBySecond, second - 15, second - 5));
            highest = Math.max(highest, sum(retriesBySecond, second - 10, second) / (RETRY_RATIO * base + RETRY_SLACK));
        }
        return highest;
    }

    private static double sum(Map<Long, Long> bySecond, long after, long until) {
        return ((TreeMap<Long, Long>) bySecond)
                .subMap(after, false, until, true).values().stream()
                        .mapToDouble(Long::doubleValue)
                        .sum();
    }

    private RetryBudget newBudget() {
        return scenario.treeAdmission()
                ? new SlidingRetryThrottle(RETRY_RATIO * SHARE_ON, RETRY_SLACK * SHARE_ON / NODES)
                : new RetryThrottle(RETRY_RATIO * SHARE_OFF, RETRY_SLACK * SHARE_OFF / NODES);
    }

    private void run() {
        for (int i = 0; i < ROOT_NODES; i++) {
            rootNodes.add(new RootNode());
        }
        for (int i = 0; i < FRONT_NODES; i++) {
            frontNodes.add(new FrontNode());
        }
        for (int i = 0; i < scenario.upstreams(); i++) {
            upstreams.add(new Upstream(i));
        }
        for (Load load : scenario.loads()) {
            counts.put(load.name(), new Counts());
            schedule(load.fromMillis(), () -> arrive(load));
        }
        schedule(scenario.reportMillis(), this::report);
        while (!events.isEmpty() && events.peek().atMillis() <= scenario.endMillis()) {
            Event event = events.poll();
            now = event.atMillis();
            event.action().run();
        }
    }

    private void arrive(Load load) {
        double gap = -Math.log(1 - random.nextDouble()) * 1_000 / load.perSecond();
        schedule(Math.round(gap), () -> arrive(load));
        Counts count = counts.get(load.name());
        boolean during = now >= scenario.failFromMillis() && now < scenario.failUntilMillis();
        boolean after = now >= scenario.failUntilMillis() + 1_000 && now < scenario.endMillis() - load.deadlineMillis();
        count.offered += during ? 1 : 0;
        count.afterFailure += after ? 1 : 0;
        long arrived = now;
        attempt(load, arrived, MAX_CALLER_ATTEMPTS, () -> {
            if (during) {
                count.completed++;
                count.inTime += now - arrived <= load.targetMillis() ? 1 : 0;
            }
            count.completedAfterFailure += after ? 1 : 0;
        });
    }

    private void attempt(Load load, long arrived, int attemptsLeft, Runnable onSuccess) {
        RootNode node = rootNodes.get(random.nextInt(ROOT_NODES));
        RequestClass requests = load.requestClass();
        long deadline = arrived + load.deadlineMillis();
        node.meter.arrived(requests);
        boolean repeated = attemptsLeft < MAX_CALLER_ATTEMPTS && plan.isLimitedByRetries(requests);
        if (!node.gate.admit(requests, repeated)) {
            long third = Math.max(1, (deadline - now) / 3);
            long retryAfter = scenario.treeAdmission() && plan.isLimitedByRetries(requests)
                    ? random.nextLong(third / 2, third + 1)
                    : random.nextLong(load.targetMillis() / 4, 3 * load.targetMillis() / 4 + 1);
            retryLater(load, arrived, attemptsLeft, retryAfter, onSuccess);
        } else if (scenario.treeAdmission() && !plan.decides(requests) && !node.outcomes.admit(requests.route())) {
            long retryAfter = random.nextLong(load.targetMillis() / 4, 3 * load.targetMillis() / 4 + 1);
            retryLater(load, arrived, attemptsLeft, retryAfter, onSuccess);
        } else if (load.rootIsDeep()) {
            call(node.budget, node.meter, false, requests.route(), ROOT_CALL_MILLIS, deadline, ok -> {
                if (ok) {
                    onSuccess.run();
                } else {
                    retryLater(load, arrived, attemptsLeft, random.nextLong(300, 600), onSuccess);
                }
            });
        } else {
            execute(load, deadline, ok -> {
                if (plan.decides(requests)) {
                    node.outcomes.forget(requests.route());
                } else {
                    node.outcomes.recordOutcome(requests.route(), !ok, now);
                }
                if (ok) {
                    onSuccess.run();
                }
            });
        }
    }

    private void retryLater(Load load, long arrived, int attemptsLeft, long retryAfter, Runnable onSuccess) {
        long third = (arrived + load.deadlineMillis() - now) / 3;
        if (third > 20 && attemptsLeft > 1) {
            schedule(
                    Math.max(20, Math.min(third, retryAfter)),
                    () -> attempt(load, arrived, attemptsLeft - 1, onSuccess));
        }
    }

    private void execute(Load load, long deadline, Consumer<Boolean> onDone) {
        FrontNode node = frontNodes.get(random.nextInt(FRONT_NODES));
        RouteId route = load.requestClass().route();
        long started = now;
        node.meter.started(route, now);
        schedule(
                FRONT_MILLIS,
                () -> callNext(node, load.nestedCalls(), deadline, ok -> {
                    node.meter.ended(route, now - started, false, now);
                    onDone.accept(ok && now <= deadline);
                }));
    }

    private void callNext(FrontNode node, int left, long deadline, Consumer<Boolean> onDone) {
        if (left == 0) {
            onDone.accept(true);
            return;
        }
        node.meter.called(LOOKUP, now);
        call(node.budget, node.meter, true, LOOKUP, LOOKUP_MILLIS, deadline, ok -> {
            if (ok) {
                callNext(node, left - 1, deadline, onDone);
            } else {
                onDone.accept(false);
            }
        });
    }

    private void call(
            RetryBudget budget,
            NodeMeter meter,
            boolean nested,
            RouteId route,
            long work,
            long deadline,
            Consumer<Boolean> onAnswer) {
        budget.recordRequest(now);
        requestsBySecond.merge(now / 1_000, 1L, Long::sum);
        AttemptPolicy policy = new AttemptPolicy(MAX_ATTEMPTS, true, deadline, !scenario.treeAdmission());
        tryCall(budget, meter, nested, route, work, policy, new HashSet<>(), onAnswer);
    }

    private void tryCall(
            RetryBudget budget,
            NodeMeter meter,
            boolean nested,
            RouteId route,
            long work,
            AttemptPolicy policy,
            Set<Upstream> tried,
            Consumer<Boolean> onAnswer) {
        Upstream upstream;
        do {
            upstream = upstreams.get(random.nextInt(upstreams.size()));
        } while (tried.contains(upstream));
        tried.add(upstream);
        upstream.offer(route, work, executed -> {
            AttemptOutcome outcome = new AttemptOutcome(!executed, !executed, !executed, true, !executed, false, false);
            AttemptPolicy.Next next = policy.next(outcome, now);
            if (next == AttemptPolicy.Next.RETRY_WITHIN_BUDGET
                    && tried.size() < upstreams.size()
                    && budget.tryRetry(1, nested, now)) {
                meter.retried(DEEP);
                retriesBySecond.merge(now / 1_000, 1L, Long::sum);
                tryCall(budget, meter, nested, route, work, policy, tried, onAnswer);
            } else {
                onAnswer.accept(executed);
            }
        });
    }

    /** Samples the load of all nodes; the plan made of it reaches the gates two report intervals later. */
    private void report() {
        schedule(scenario.reportMillis(), this::report);
        List<NodeLoad> loads = new ArrayList<>();
        rootNodes.forEach(node -> loads.add(node.meter.sample(scenario.reportMillis(), now)));
        frontNodes.forEach(node -> loads.add(node.meter.sample(scenario.reportMillis(), now)));
        upstreams.forEach(node -> loads.add(node.meter.sample(scenario.reportMillis(), now)));
        schedule(PLAN_DELAY_MILLIS, () -> {
            AdmissionPlan next = planner.plan(NodeLoad.sumByService(loads), this::split, now);
            schedule(scenario.reportMillis() - PLAN_DELAY_MILLIS, () -> apply(next));
        });
    }

    private void apply(AdmissionPlan next) {
        plan = next;
        rootNodes.forEach(node -> node.gate.plan(next));
        if (now >= scenario.failFromMillis() - 500 && now < scenario.failUntilMillis() + 9_000) {
            Map<String, String> fractions = new TreeMap<>();
            scenario.loads().stream()
                    .filter(load -> next.decides(load.requestClass()))
                    .forEach(load -> fractions.put(
                            load.name(), String.format("%.3f", next.admittedFraction(load.requestClass()))));
            trace.append(String.format(
                    "%6.2f s %s retries %d requests %d%n",
                    (double) (now - scenario.failFromMillis()) / 1_000,
                    fractions,
                    retriesBySecond.getOrDefault(now / 1_000 - 1, 0L),
                    requestsBySecond.getOrDefault(now / 1_000 - 1, 0L)));
        }
    }

    private TrafficSplit split(RouteId route) {
        boolean deep = route.equals(LOOKUP)
                || scenario.loads().stream()
                        .anyMatch(load ->
                                load.rootIsDeep() && load.requestClass().route().equals(route));
        return TrafficSplit.single(deep ? DEEP : FRONT);
    }

    private long slowSometimes(long millis) {
        return random.nextInt(100) < 3 ? 7 * millis : millis;
    }

    private void schedule(long delayMillis, Runnable action) {
        events.add(new Event(now + delayMillis, sequence++, action));
    }
}
