package org.trefoilledge.core.placement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.Incarnation;
import org.trefoilledge.core.ServiceId;
import org.trefoilledge.core.ZoneId;
import org.trefoilledge.core.overload.LoadReport;

/**
 * Three zones on a virtual clock, each with callers, one upstream of a service that makes sequential calls, and one
 * upstream of the service that it calls. The placers are real; the called upstream of one zone is faster than the others.
 */
final class CallTreeReplay {
    private static final ServiceId ORDERS = new ServiceId("orders");
    private static final ServiceId STOCK = new ServiceId("stock");
    private static final int CALLS_PER_TREE = 4;
    private static final int STOCK_SLOTS = 50;
    private static final int ORDERS_SLOTS = 400;
    private static final long[] STOCK_WORK_MILLIS = {31, 31, 14};
    private static final long ZONE_ROUND_TRIP_MILLIS = 2;
    private static final double TREES_PER_MILLI_AND_ZONE = 0.48;
    private static final long DURATION_MILLIS = 10_000;

    private final SplittableRandom random;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::sequence));
    private final List<Zone> zones = new ArrayList<>();
    private final Map<HostId, Zone> zonesByHost = new HashMap<>();
    private long now;
    private long scheduled;
    private long trees;
    private long treeMillis;
    private long crossings;

    /** Mean figures of the completed call trees; a crossing is a call to an upstream in another zone. */
    record Result(double crossingsPerTree, double meanTreeMillis) {}

    private record Event(long atMillis, long sequence, Runnable action) {}

    private final class Zone {
        private final ZoneId id;
        private final long workMillis;
        private final Candidate orders;
        private final Candidate stock;
        private final Placer callerPlacer;
        private final Placer ordersPlacer;
        private final Deque<Runnable> stockQueue = new ArrayDeque<>();
        private double nextArrivalMillis;
        private int stockRunning;
        private int ordersRunning;

        Zone(int number) {
            id = new ZoneId("zone-" + number);
            workMillis = STOCK_WORK_MILLIS[number];
            orders = candidate("orders-" + number, ORDERS, ORDERS_SLOTS);
            stock = candidate("stock-" + number, STOCK, STOCK_SLOTS);
            callerPlacer = placer("caller-" + number);
            ordersPlacer = placer("orders-" + number);
        }

        private Candidate candidate(String host, ServiceId service, int slots) {
            return new Candidate(new HostId(host), id, service, "127.0.0.1:1", new Incarnation(1), slots);
        }

        private Placer placer(String host) {
            HostId hostId = new HostId(host);
            return new Placer(hostId, id, PlacementSettings.defaults(hostId));
        }

        private LoadReport stockLoad() {
            return new LoadReport(stockRunning, STOCK_SLOTS, stockQueue.size() * workMillis / STOCK_SLOTS, 0);
        }

        private LoadReport ordersLoad() {
            return new LoadReport(ordersRunning, ORDERS_SLOTS, 0, 0);
        }

        void offerStockCall(Runnable whenDone) {
            if (stockRunning == STOCK_SLOTS) {
                stockQueue.add(whenDone);
                return;
            }
            stockRunning++;
            schedule(workMillis, () -> {
                stockRunning--;
                whenDone.run();
                if (!stockQueue.isEmpty()) {
                    offerStockCall(stockQueue.poll());
                }
            });
        }
    }

    CallTreeReplay(long seed) {
        this.random = new SplittableRandom(seed);
        for (int number = 0; number < STOCK_WORK_MILLIS.length; number++) {
            zones.add(new Zone(number));
        }
        List<Candidate> candidates = new ArrayList<>();
        for (Zone zone : zones) {
            candidates.add(zone.orders);
            candidates.add(zone.stock);
            zonesByHost.put(zone.orders.host(), zone);
            zonesByHost.put(zone.stock.host(), zone);
        }
        for (Zone zone : zones) {
            zone.callerPlacer.updateCandidates(candidates);
            zone.ordersPlacer.updateCandidates(candidates);
        }
    }

    Result run() {
        zones.forEach(this::scheduleArrival);
        while (!events.isEmpty()) {
            Event event = events.poll();
            now = event.atMillis();
            event.action().run();
        }
        return new Result((double) crossings / trees, (double) treeMillis / trees);
    }

    private void schedule(long delayMillis, Runnable action) {
        events.add(new Event(now + delayMillis, scheduled++, action));
    }

    private void scheduleArrival(Zone zone) {
        zone.nextArrivalMillis += -Math.log(1 - random.nextDouble()) / TREES_PER_MILLI_AND_ZONE;
        if (zone.nextArrivalMillis < DURATION_MILLIS) {
            schedule((long) zone.nextArrivalMillis - now, () -> {
                startTree(zone);
                scheduleArrival(zone);
            });
        }
    }

    private void startTree(Zone callerZone) {
        long started = now;
        Zone target = place(callerZone.callerPlacer, ORDERS);
        target.ordersRunning++;
        schedule(
                travelMillis(callerZone, target),
                () -> callStock(target, CALLS_PER_TREE, () -> {
                    target.ordersRunning--;
                    end(callerZone.callerPlacer, target.orders, target.ordersLoad());
                    trees++;
                    treeMillis += now - started;
                }));
    }

    private void callStock(Zone from, int callsLeft, Runnable whenDone) {
        if (callsLeft == 0) {
            whenDone.run();
            return;
        }
        Zone target = place(from.ordersPlacer, STOCK);
        schedule(
                travelMillis(from, target),
                () -> target.offerStockCall(() -> {
                    end(from.ordersPlacer, target.stock, target.stockLoad());
                    callStock(from, callsLeft - 1, whenDone);
                }));
    }

    private Zone place(Placer placer, ServiceId service) {
        Candidate chosen = placer.place(service, Set.of(), now, random).orElseThrow();
        placer.recordStart(chosen.host(), now);
        return zonesByHost.get(chosen.host());
    }

    private void end(Placer placer, Candidate candidate, LoadReport load) {
        placer.recordEnd(candidate.host(), Optional.of(load), true, now);
    }

    private long travelMillis(Zone from, Zone to) {
        if (from == to) {
            return 0;
        }
        crossings++;
        return ZONE_ROUND_TRIP_MILLIS;
    }
}
