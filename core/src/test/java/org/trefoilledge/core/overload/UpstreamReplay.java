package org.trefoilledge.core.overload;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.Iterator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.IntToDoubleFunction;
import java.util.function.LongToDoubleFunction;
import org.trefoilledge.core.Importance;
import org.trefoilledge.core.OrganisationId;
import org.trefoilledge.core.RouteId;

/** One upstream behind a real {@link Guard}, on a virtual clock with steps of a millisecond and a seeded load. */
final class UpstreamReplay {
    /** One call in so many takes {@link #RARE_FACTOR} times as long. */
    private static final double RARE_SHARE = 0.03;

    private static final double RARE_FACTOR = 7;
    private static final double SPREAD = 0.3;
    private static final long SLOW_EPISODE_MILLIS = 600;
    private static final double SLOW_EPISODE_FACTOR = 2.5;

    /** When a call is slowed down by the calls beside it. */
    enum Slowdown {
        /** By the number of running calls at its start, for its whole duration. */
        AT_START,
        /** By the number of running calls at each moment. */
        CONTINUOUS
    }

    /** A route with its mean work in milliseconds and its calls per second over time. */
    record Load(String route, double workMillis, LongToDoubleFunction perSecond) {}

    /** Figures of the calls that arrived in an interval. */
    record Result(int offered, int completed, double workPerSecond, double meanMillis, double p99Millis) {}

    private static final class Running {
        private final GuardedCall call;
        private final int load;
        private final long arrivedMillis;
        private double workMillis;
        private double startFactor;
        private boolean running;

        Running(GuardedCall call, int load, long arrivedMillis, double workMillis) {
            this.call = call;
            this.load = load;
            this.arrivedMillis = arrivedMillis;
            this.workMillis = workMillis;
        }
    }

    private record Completion(long arrivedMillis, long tookMillis, int load, boolean succeeded) {}

    private final SplittableRandom random;
    private final Guard guard;
    private final List<Load> loads;
    private final List<Running> calls = new ArrayList<>();
    private final List<Completion> completions = new ArrayList<>();
    private final List<Integer> limits = new ArrayList<>();
    private Slowdown slowdown = Slowdown.AT_START;
    private IntToDoubleFunction factorOfConcurrency = running -> 1;
    private LongToDoubleFunction factorOfTime = now -> 1;
    private LongToDoubleFunction failureShare = now -> 0;
    private double slowShare;
    private long slowUntilMillis;
    private long deadlineMillis = 5_000;
    private long now;
    private long lastTicket;

    UpstreamReplay(long seed, boolean learned, int slots, List<Load> loads) {
        this.random = new SplittableRandom(seed);
        this.loads = loads;
        GuardSettings settings = GuardSettings.defaults(slots)
                .withMechanisms(EnumSet.of(
                        Mechanism.CONCURRENCY_LIMIT, Mechanism.IMPORTANCE, Mechanism.FAIRNESS, Mechanism.DEADLINES));
        this.guard = learned ? Guard.withLearnedCapacity(settings) : new Guard(settings);
    }

    UpstreamReplay slowdown(Slowdown when, IntToDoubleFunction factor) {
        slowdown = when;
        factorOfConcurrency = factor;
        return this;
    }

    UpstreamReplay slowOverTime(LongToDoubleFunction factor) {
        factorOfTime = factor;
        return this;
    }

    /** Makes the upstream slow for episodes that take the given share of the time. */
    UpstreamReplay slowEpisodes(double share) {
        slowShare = share;
        return this;
    }

    UpstreamReplay failing(LongToDoubleFunction share) {
        failureShare = share;
        return this;
    }

    UpstreamReplay deadline(long millis) {
        deadlineMillis = millis;
        return this;
    }

    /** Runs up to the given time. */
    UpstreamReplay run(long untilMillis) {
        for (; now < untilMillis; now++) {
            if (slowShare > 0
                    && now >= slowUntilMillis
                    && random.nextDouble() < slowShare / (1 - slowShare) / SLOW_EPISODE_MILLIS) {
                slowUntilMillis = now + SLOW_EPISODE_MILLIS;
            }
            work();
            arrive();
            if (now % 20 == 0) {
                perform(guard.tick(now));
            }
            limits.add(guard.report(now).limit());
        }
        return this;
    }

    /** Returns the learned limit at a time. */
    int limitAt(long millis) {
        return limits.get((int) millis);
    }

    double serviceTimeMillis(String route) {
        return guard.serviceTimeMillis(new RouteId(route), now);
    }

    Result between(long from, long to) {
        int completed = 0;
        int offered = 0;
        double work = 0;
        List<Long> took = new ArrayList<>();
        for (Completion completion : completions) {
            if (completion.arrivedMillis() < from || completion.arrivedMillis() >= to) {
                continue;
            }
            offered++;
            if (completion.succeeded()) {
                completed++;
                work += loads.get(completion.load()).workMillis();
                took.add(completion.tookMillis());
            }
        }
        took.sort(null);
        return new Result(
                offered,
                completed,
                work / (to - from),
                took.stream().mapToLong(Long::longValue).average().orElse(0),
                took.isEmpty() ? 0 : took.get((int) (took.size() * 0.99)));
    }

    private void work() {
        int running = guard.running();
        double factor = factorOfTime.applyAsDouble(now) * (now < slowUntilMillis ? SLOW_EPISODE_FACTOR : 1);
        double crowding = slowdown == Slowdown.CONTINUOUS ? factorOfConcurrency.applyAsDouble(running) : 1;
        List<Running> done = new ArrayList<>();
        List<Running> late = new ArrayList<>();
        for (Running call : calls) {
            if (call.running) {
                call.workMillis -= 1 / (factor * crowding * call.startFactor);
                if (call.workMillis <= 0) {
                    done.add(call);
                    continue;
                }
            }
            if (now > call.call.deadlineMillis()) {
                late.add(call);
            }
        }
        calls.removeAll(done);
        calls.removeAll(late);
        for (Running call : done) {
            boolean failed = call.startFactor < 0.1;
            completions.add(new Completion(call.arrivedMillis, now - call.arrivedMillis, call.load, !failed));
            perform(guard.finish(call.call.ticket(), failed ? CallEnd.FAILED : CallEnd.COMPLETED, now));
        }
        for (Running call : late) {
            completions.add(new Completion(call.arrivedMillis, now - call.arrivedMillis, call.load, false));
            if (call.running) {
                perform(guard.finish(call.call.ticket(), CallEnd.ABANDONED, now));
            } else {
                perform(guard.cancel(call.call.ticket(), now));
            }
        }
    }

    private void arrive() {
        for (int i = 0; i < loads.size(); i++) {
            double expected = loads.get(i).perSecond().applyAsDouble(now) / 1_000;
            while (expected > 0 && random.nextDouble() < expected) {
                expected -= 1;
                offer(i);
            }
        }
    }

    private void offer(int load) {
        double work = loads.get(load).workMillis() * Math.exp(SPREAD * random.nextGaussian() - SPREAD * SPREAD / 2);
        if (random.nextDouble() < RARE_SHARE) {
            work *= RARE_FACTOR;
        }
        GuardedCall call = new GuardedCall(
                ++lastTicket,
                new OrganisationId("o" + lastTicket % 5),
                Importance.NORMAL,
                new RouteId(loads.get(load).route()),
                (int) lastTicket,
                now + deadlineMillis,
                true);
        calls.add(new Running(call, load, now, work));
        perform(guard.offer(call, now));
    }

    private void perform(List<GuardAction> actions) {
        for (GuardAction action : actions) {
            Running call = find(action.ticket());
            if (action instanceof GuardAction.Run) {
                call.running = true;
                boolean fails = random.nextDouble() < failureShare.applyAsDouble(now);
                call.startFactor = fails
                        ? 0.01
                        : slowdown == Slowdown.AT_START ? factorOfConcurrency.applyAsDouble(guard.running()) : 1;
            } else {
                calls.remove(call);
                completions.add(new Completion(call.arrivedMillis, now - call.arrivedMillis, call.load, false));
            }
        }
    }

    private Running find(long ticket) {
        Iterator<Running> all = calls.iterator();
        while (true) {
            Running call = all.next();
            if (call.call.ticket() == ticket) {
                return call;
            }
        }
    }
}
