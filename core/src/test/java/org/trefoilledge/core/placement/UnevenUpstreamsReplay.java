package org.trefoilledge.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.LongToDoubleFunction;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.Importance;
import org.trefoilledge.core.Incarnation;
import org.trefoilledge.core.OrganisationId;
import org.trefoilledge.core.RouteId;
import org.trefoilledge.core.ServiceId;
import org.trefoilledge.core.ZoneId;
import org.trefoilledge.core.overload.CallEnd;
import org.trefoilledge.core.overload.Guard;
import org.trefoilledge.core.overload.GuardAction;
import org.trefoilledge.core.overload.GuardSettings;
import org.trefoilledge.core.overload.GuardedCall;
import org.trefoilledge.core.overload.LoadReport;
import org.trefoilledge.core.overload.Mechanism;

/**
 * 80 senders in three zones and 23 upstreams of one service that differ in speed, on a virtual clock. Placers and guards
 * are real. A sender hears of an upstream only from the answers to its own calls.
 */
final class UnevenUpstreamsReplay {
    /** Number of the upstream with a speed of 0.5, which is the disturbed one unless another is named. */
    static final int SLOWEST = 0;
    /** Number of the upstream with a speed of 1.6. */
    static final int FASTEST = 2;

    private static final int UPSTREAMS = 23;
    private static final int ZONES = 3;
    private static final int SENDERS = 80;
    private static final ServiceId SERVICE = new ServiceId("stock");
    private static final RouteId[] ROUTES = {new RouteId("root"), new RouteId("nested")};
    private static final double[] WORK_MILLIS = {350, 25};
    /** Share of each route in the work. */
    private static final double[] WORK_SHARE = {0.6, 0.4};

    private static final double RARE_SHARE = 0.03;
    private static final double RARE_FACTOR = 7;
    private static final double RARE_CALLS = 1.18;
    private static final double SPREAD = 0.3;
    private static final long ZONE_ROUND_TRIP_MILLIS = 3;
    private static final long DEADLINE_MILLIS = 2_000;
    private static final int MAX_ATTEMPTS = 3;

    private final SplittableRandom random;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::sequence));
    private final List<Sender> senders = new ArrayList<>();
    private final Map<HostId, Server> servers = new HashMap<>();
    private final List<Server> serverList = new ArrayList<>();
    private final LongToDoubleFunction[] loadOfZone;
    private final long fromMillis;
    private final long untilMillis;
    private final List<Long> latencies = new ArrayList<>();
    private final double[] latencySum = new double[2];
    private final long[] latencyCount = new long[2];
    private LongToDoubleFunction disturbedFactor = at -> 1;
    private double disturbedFailures;
    private HostId disturbed = new HostId("u" + SLOWEST);
    private double totalCapacity;
    private long now;
    private long scheduled;
    private long tickets;
    private long offered;
    private long failed;
    private long crossings;

    /**
     * Figures of the calls that arrived in the measured interval.
     *
     * @param latencyRatio mean over both routes of the latency relative to the nominal service time
     * @param unservedShare calls that were refused or failed
     * @param busiestLoad highest time-averaged load of an upstream over the mean of all
     * @param fewestCalls calls of the upstream with the fewest, relative to the mean
     */
    record Result(
            double latencyRatio,
            long p99Millis,
            double unservedShare,
            double busiestLoad,
            double fewestCalls,
            double crossingShare) {}

    private record Event(long atMillis, long sequence, Runnable action) {}

    private record Sender(Placer placer, ZoneId zone, int zoneNumber) {}

    private final class Server {
        private final Candidate candidate;
        private final double speed;
        private final Guard guard;
        private final Map<Long, Pending> pending = new HashMap<>();
        private double busyMillis;
        private long lastChange;
        private long calls;

        Server(int number) {
            int slots = 15 + number * 7 % 9;
            speed = 0.5 + 1.1 * (number * 11 % UPSTREAMS) / (UPSTREAMS - 1);
            candidate = new Candidate(
                    new HostId("u" + number),
                    new ZoneId("z" + number % ZONES),
                    SERVICE,
                    "127.0.0.1:1",
                    new Incarnation(1),
                    slots);
            guard = Guard.withLearnedCapacity(GuardSettings.defaults(slots)
                    .withMechanisms(EnumSet.of(
                            Mechanism.CONCURRENCY_LIMIT,
                            Mechanism.IMPORTANCE,
                            Mechanism.FAIRNESS,
                            Mechanism.DEADLINES)));
        }

        private void account() {
            if (now >= fromMillis && now < untilMillis) {
                busyMillis += (double) guard.running() / candidate.slots() * (now - lastChange);
            }
            lastChange = now;
        }

        private double factor() {
            return (candidate.host().equals(disturbed) ? disturbedFactor.applyAsDouble(now) : 1) / speed;
        }

        void offer(Pending call) {
            account();
            if (now >= fromMillis) {
                calls++;
            }
            long ticket = ++tickets;
            pending.put(ticket, call);
            perform(guard.offer(
                    new GuardedCall(
                            ticket,
                            new OrganisationId("o"),
                            Importance.NORMAL,
                            ROUTES[call.route],
                            (int) ticket,
                            call.arrivedMillis + DEADLINE_MILLIS,
                            true),
                    now));
        }

        private void perform(List<GuardAction> actions) {
            for (GuardAction action : actions) {
                Pending call = pending.get(action.ticket());
                if (action instanceof GuardAction.Refuse) {
                    pending.remove(action.ticket());
                    answer(call, false, true);
                    continue;
                }
                boolean fails = candidate.host().equals(disturbed) && random.nextDouble() < disturbedFailures;
                long took = fails ? 1 : Math.max(1, Math.round(call.workMillis * factor()));
                schedule(took, () -> {
                    account();
                    pending.remove(action.ticket());
                    List<GuardAction> next =
                            guard.finish(action.ticket(), fails ? CallEnd.FAILED : CallEnd.COMPLETED, now);
                    answer(call, !fails, false);
                    perform(next);
                });
            }
        }

        private void answer(Pending call, boolean succeeded, boolean refused) {
            LoadReport load = guard.report(now);
            double serviceTime = guard.serviceTimeMillis(ROUTES[call.route], now);
            schedule(travel(call.sender, candidate) / 2, () -> {
                Placer placer = call.sender.placer();
                placer.recordEnd(candidate.host(), Optional.of(load), true, now);
                if (!refused) {
                    placer.recordServiceTime(
                            candidate.host(), ROUTES[call.route], (double) Math.round(serviceTime), now);
                    placer.recordOutcome(candidate.host(), !succeeded, now);
                }
                call.tried.add(candidate.host());
                boolean retry = !succeeded && call.tried.size() < MAX_ATTEMPTS && now < call.arrivedMillis + 1_500;
                if (retry) {
                    send(call);
                } else {
                    record(call, succeeded);
                }
            });
        }
    }

    private static final class Pending {
        private final Sender sender;
        private final int route;
        private final long arrivedMillis;
        private final double workMillis;
        private final Set<HostId> tried = new HashSet<>();

        Pending(Sender sender, int route, long arrivedMillis, double workMillis) {
            this.sender = sender;
            this.route = route;
            this.arrivedMillis = arrivedMillis;
            this.workMillis = workMillis;
        }
    }

    UnevenUpstreamsReplay(long seed, boolean expectedTime, double load, long fromMillis, long untilMillis) {
        this(seed, expectedTime, at -> load, at -> load, at -> load, fromMillis, untilMillis);
    }

    UnevenUpstreamsReplay(
            long seed,
            boolean expectedTime,
            LongToDoubleFunction firstZone,
            LongToDoubleFunction secondZone,
            LongToDoubleFunction thirdZone,
            long fromMillis,
            long untilMillis) {
        this.random = new SplittableRandom(seed);
        this.loadOfZone = new LongToDoubleFunction[] {firstZone, secondZone, thirdZone};
        this.fromMillis = fromMillis;
        this.untilMillis = untilMillis;
        List<Candidate> candidates = new ArrayList<>();
        for (int number = 0; number < UPSTREAMS; number++) {
            Server server = new Server(number);
            servers.put(server.candidate.host(), server);
            serverList.add(server);
            candidates.add(server.candidate);
            totalCapacity += server.candidate.slots() * server.speed;
        }
        for (int number = 0; number < SENDERS; number++) {
            HostId host = new HostId("s" + number);
            ZoneId zone = new ZoneId("z" + number % ZONES);
            PlacementSettings settings = PlacementSettings.defaults(host);
            Placer placer = new Placer(host, zone, expectedTime ? settings.withExpectedTime() : settings);
            placer.updateCandidates(candidates);
            senders.add(new Sender(placer, zone, number % ZONES));
        }
    }

    /** Multiplies the service times of the disturbed upstream. */
    UnevenUpstreamsReplay disturbedFactor(LongToDoubleFunction factor) {
        disturbedFactor = factor;
        return this;
    }

    /** Makes the disturbed upstream fail a share of its calls at once. */
    UnevenUpstreamsReplay disturbedFailures(double share) {
        disturbedFailures = share;
        return this;
    }

    UnevenUpstreamsReplay disturbed(int number) {
        disturbed = new HostId("u" + number);
        return this;
    }

    /** Returns the calls that an upstream got in the measured interval. */
    long callsOf(int number) {
        return serverList.get(number).calls;
    }

    Result run() {
        for (Sender sender : senders) {
            for (int route = 0; route < ROUTES.length; route++) {
                scheduleArrival(sender, route);
            }
        }
        while (!events.isEmpty()) {
            Event event = events.poll();
            now = event.atMillis();
            if (now > untilMillis + 20_000) {
                break;
            }
            event.action().run();
        }
        latencies.sort(null);
        double busy =
                serverList.stream().mapToDouble(s -> s.busyMillis).average().orElse(0);
        double calls = serverList.stream().mapToDouble(s -> s.calls).average().orElse(0);
        return new Result(
                (latencySum[0] / latencyCount[0] / WORK_MILLIS[0] + latencySum[1] / latencyCount[1] / WORK_MILLIS[1])
                        / 2
                        / RARE_CALLS,
                latencies.get((int) (latencies.size() * 0.99)),
                (double) failed / offered,
                serverList.stream().mapToDouble(s -> s.busyMillis).max().orElse(0) / busy,
                serverList.stream().mapToDouble(s -> s.calls).min().orElse(0) / calls,
                (double) crossings / offered);
    }

    private void schedule(long delayMillis, Runnable action) {
        events.add(new Event(now + delayMillis, scheduled++, action));
    }

    private void scheduleArrival(Sender sender, int route) {
        double load = loadOfZone[sender.zoneNumber()].applyAsDouble(now);
        double perMilli = load * totalCapacity * WORK_SHARE[route] / WORK_MILLIS[route] / RARE_CALLS / SENDERS;
        long delay = Math.round(-Math.log(1 - random.nextDouble()) / perMilli);
        if (now + delay < untilMillis) {
            schedule(delay, () -> {
                double work = WORK_MILLIS[route] * Math.exp(SPREAD * random.nextGaussian() - SPREAD * SPREAD / 2);
                work *= random.nextDouble() < RARE_SHARE ? RARE_FACTOR : 1;
                send(new Pending(sender, route, now, work));
                scheduleArrival(sender, route);
            });
        }
    }

    private void send(Pending call) {
        Optional<Candidate> chosen = call.sender.placer().place(SERVICE, call.tried, now, random);
        if (chosen.isEmpty()) {
            record(call, false);
            return;
        }
        call.sender.placer().recordStart(chosen.get().host(), now);
        long travel = travel(call.sender, chosen.get());
        crossings += travel > 0 && call.arrivedMillis >= fromMillis ? 1 : 0;
        schedule(travel - travel / 2, () -> servers.get(chosen.get().host()).offer(call));
    }

    private static long travel(Sender sender, Candidate candidate) {
        return sender.zone().equals(candidate.zone()) ? 0 : ZONE_ROUND_TRIP_MILLIS;
    }

    private void record(Pending call, boolean succeeded) {
        if (call.arrivedMillis < fromMillis) {
            return;
        }
        offered++;
        if (!succeeded) {
            failed++;
            return;
        }
        long took = now - call.arrivedMillis;
        latencies.add(took);
        latencySum[call.route] += took;
        latencyCount[call.route]++;
    }
}
