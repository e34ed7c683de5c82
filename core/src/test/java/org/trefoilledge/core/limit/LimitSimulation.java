package org.trefoilledge.core.limit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.Incarnation;
import org.trefoilledge.core.OrganisationId;
import org.trefoilledge.core.ZoneId;
import org.trefoilledge.core.config.Organisation;

/** Simulates nodes, shard owners and messages on a virtual clock. Equal seeds give equal runs. */
final class LimitSimulation {
    static final int SHARDS_PER_ZONE = 16;
    private static final int MAX_OWNERS_PER_ZONE = 7;
    private static final long TICK_MILLIS = 10;
    private static final long AUTHORITY_MILLIS = 4_000;

    private record Event(long at, long sequence, Runnable action) {}

    private record Waiting(Request request, long deadline) {}

    /** A caller's request and whether it was admitted. */
    static final class Request {
        final OrganisationId organisation;
        final int node;
        final long at;
        boolean admitted;

        Request(OrganisationId organisation, int node, long at) {
            this.organisation = organisation;
            this.node = node;
            this.at = at;
        }
    }

    final class Node {
        final int index;
        final ZoneId zone;
        final long offset = random.nextInt(1_000_000);
        final double drift;
        TokenBorrower tokenBorrower;
        TokenLender tokenLender;
        boolean up = true;
        long pausedUntil;
        long authorityNotBefore;
        long authorityUntil;
        int revision;
        boolean urgentTickScheduled;
        int incarnation;
        Set<Integer> owned = Set.of();
        final Map<OrganisationId, ArrayDeque<Waiting>> waiting = new HashMap<>();

        Node(int index, ZoneId zone) {
            this.index = index;
            this.zone = zone;
            drift = slowClocks ? random.nextDouble() * 0.01 : 0;
            start();
        }

        BorrowerId borrower() {
            return new BorrowerId(new HostId("host-" + index), new Incarnation(incarnation));
        }

        /** Clocks only run slow here, because an owner's fast clock would fill its buckets faster than the rate. */
        long clock() {
            return offset + now - (long) (now * drift);
        }

        void start() {
            tokenBorrower = new TokenBorrower(settings, index * 7919L);
            tokenLender = new TokenLender(settings);
            owned = Set.of();
            configure();
        }

        void configure() {
            List<Organisation> organisations = revisions.get(revision);
            tokenBorrower.configure(organisations, zones, zone, SHARDS_PER_ZONE, clock());
            tokenLender.configure(organisations, zones.size(), SHARDS_PER_ZONE, clock());
        }

        void tick() {
            if (now >= authorityNotBefore && now % 1_000 < TICK_MILLIS) {
                authorityUntil = now + AUTHORITY_MILLIS;
            }
            Set<Integer> shards = new HashSet<>();
            int[] owners = owner.get(zone);
            for (int shard = 0; shard < owners.length; shard++) {
                if (owners[shard] == index && now < authorityUntil) {
                    shards.add(shard);
                }
            }
            if (!shards.equals(owned)) {
                owned = shards;
                tokenLender.setOwnedShards(shards, clock());
            }
            tokenBorrower.tick(clock()).forEach(loanRequest -> send(this, loanRequest));
        }
    }

    final Random random;
    final LimitSettings settings;
    final boolean slowClocks;
    final List<ZoneId> zones;
    final List<Node> nodes = new ArrayList<>();
    final List<List<Organisation>> revisions = new ArrayList<>();
    final Map<ZoneId, int[]> owner = new HashMap<>();
    final List<Request> requests = new ArrayList<>();
    final Map<OrganisationId, List<Long>> admissions = new HashMap<>();
    double lossProbability;
    double slowMessageProbability = 0.005;
    boolean storeUp = true;
    int messages;
    ZoneId isolatedZone;
    long now;
    private long sequence;
    private final PriorityQueue<Event> events = new PriorityQueue<>(
            (a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.sequence, b.sequence));

    LimitSimulation(
            long seed,
            int zoneCount,
            int nodesPerZone,
            List<Organisation> organisations,
            LimitSettings settings,
            boolean slowClocks) {
        random = new Random(seed);
        this.settings = settings;
        this.slowClocks = slowClocks;
        revisions.add(organisations);
        zones = IntStream.range(0, zoneCount)
                .mapToObj(i -> new ZoneId("zone-" + i))
                .toList();
        for (int i = 0; i < zoneCount * nodesPerZone; i++) {
            nodes.add(new Node(i, zones.get(i / nodesPerZone)));
        }
        for (int z = 0; z < zoneCount; z++) {
            int[] owners = new int[SHARDS_PER_ZONE];
            int first = z * nodesPerZone;
            Arrays.setAll(owners, shard -> first + shard % Math.min(MAX_OWNERS_PER_ZONE, nodesPerZone));
            owner.put(zones.get(z), owners);
        }
        for (Node node : nodes) {
            scheduleTick(node, random.nextInt((int) TICK_MILLIS));
        }
        schedule(1_000, this::reassign);
    }

    void schedule(long at, Runnable action) {
        events.add(new Event(at, sequence++, action));
    }

    void run(long until) {
        while (!events.isEmpty() && events.peek().at <= until) {
            Event event = events.poll();
            now = event.at;
            event.action.run();
        }
        now = until;
    }

    private void scheduleTick(Node node, long at) {
        schedule(at, () -> {
            if (node.up) {
                runOn(node, node::tick);
            }
            scheduleTick(node, Math.max(now, node.pausedUntil) + TICK_MILLIS);
        });
    }

    /** Runs the action on the node: now, or when its pause ends; never if it has restarted by then. */
    private void runOn(Node node, Runnable action) {
        int run = node.incarnation;
        if (!node.up) {
            return;
        }
        if (now < node.pausedUntil) {
            schedule(node.pausedUntil, () -> {
                if (node.incarnation == run) {
                    runOn(node, action);
                }
            });
            return;
        }
        action.run();
    }

    private void deliver(Node from, Node to, Runnable action) {
        messages++;
        boolean cut = isolatedZone != null
                && !from.zone.equals(to.zone)
                && (from.zone.equals(isolatedZone) || to.zone.equals(isolatedZone));
        if (cut || (from != to && random.nextDouble() < lossProbability)) {
            return;
        }
        int run = to.incarnation;
        schedule(now + delayMillis(from, to), () -> {
            if (to.incarnation == run) {
                runOn(to, action);
            }
        });
    }

    /** One way: up to 1 ms within a zone, 1 to 2 ms between zones, a few messages much later. */
    private long delayMillis(Node from, Node to) {
        if (from == to) {
            return 0;
        }
        long usual = from.zone.equals(to.zone) ? random.nextInt(2) : 1 + random.nextInt(2);
        return random.nextDouble() < slowMessageProbability ? usual + random.nextInt(300) : usual;
    }

    private void send(Node from, BorrowRequest loanRequest) {
        int index = owner.get(loanRequest.zone())[loanRequest.shard()];
        Node to = nodes.get(index);
        if (!to.up) {
            schedule(
                    now + 1, () -> runOn(from, () -> from.tokenBorrower.handleFailure(loanRequest.id(), from.clock())));
            return;
        }
        deliver(from, to, () -> {
            if (now < to.authorityUntil && owner.get(loanRequest.zone())[loanRequest.shard()] == to.index) {
                LoanGrant grant = to.tokenLender.lend(from.borrower(), loanRequest, to.clock());
                deliver(to, from, () -> handleGrant(from, loanRequest, grant));
            }
        });
    }

    private void handleGrant(Node node, BorrowRequest loanRequest, LoanGrant grant) {
        node.tokenBorrower.handleGrant(loanRequest.id(), grant, node.clock());
        scheduleUrgentTick(node);
        ArrayDeque<Waiting> queue = node.waiting.get(loanRequest.organisation());
        while (queue != null && !queue.isEmpty()) {
            if (queue.peek().deadline >= now) {
                if (!node.tokenBorrower.retryAcquire(loanRequest.organisation(), node.clock())) {
                    return;
                }
                admit(queue.peek().request);
            }
            queue.poll();
        }
    }

    private void scheduleUrgentTick(Node node) {
        if (!node.tokenBorrower.urgentTickNeeded() || node.urgentTickScheduled) {
            return;
        }
        node.urgentTickScheduled = true;
        schedule(now + TokenBorrower.URGENT_TICK_MILLIS, () -> {
            node.urgentTickScheduled = false;
            runOn(node, node::tick);
        });
    }

    private void admit(Request request) {
        request.admitted = true;
        admissions
                .computeIfAbsent(request.organisation, id -> new ArrayList<>())
                .add(now);
    }

    /** A caller's request at the given time; it waits for a loan if there is no token. */
    void request(OrganisationId organisation, int node, long at) {
        Request request = new Request(organisation, node, at);
        requests.add(request);
        Node entry = nodes.get(node);
        schedule(
                at,
                () -> runOn(entry, () -> {
                    if (entry.tokenBorrower.tryAcquire(organisation, entry.clock())) {
                        admit(request);
                    } else {
                        entry.waiting
                                .computeIfAbsent(organisation, id -> new ArrayDeque<>())
                                .add(new Waiting(request, now + settings.waitMillis()));
                        scheduleUrgentTick(entry);
                    }
                }));
    }

    void crash(int index, long downMillis) {
        Node node = nodes.get(index);
        node.up = false;
        node.incarnation++;
        node.waiting.clear();
        if (downMillis == Long.MAX_VALUE) {
            return;
        }
        schedule(now + downMillis, () -> {
            node.up = true;
            node.pausedUntil = 0;
            node.authorityNotBefore = now + AUTHORITY_MILLIS;
            node.start();
        });
    }

    void pause(int index, long millis) {
        Node node = nodes.get(index);
        node.pausedUntil = Math.max(node.pausedUntil, now + millis);
    }

    /** A new configuration reaches each node within 18 s. */
    void configure(List<Organisation> organisations) {
        revisions.add(organisations);
        int revision = revisions.size() - 1;
        for (Node node : nodes) {
            schedule(now + random.nextInt(18_000), () -> {
                node.revision = Math.max(node.revision, revision);
                runOn(node, node::configure);
            });
        }
    }

    /** Reassigns the shards of owners without authority about 12 s after their failure, if the store is available. */
    private void reassign() {
        schedule(now + 1_000, this::reassign);
        if (!storeUp) {
            return;
        }
        owner.forEach((zone, owners) -> {
            List<Node> able = nodes.stream()
                    .filter(node -> node.zone.equals(zone) && node.up && now < node.authorityUntil)
                    .toList();
            for (int shard = 0; shard < owners.length; shard++) {
                if (now > nodes.get(owners[shard]).authorityUntil + 8_000 && now > 15_000 && !able.isEmpty()) {
                    owners[shard] = able.get(shard % able.size()).index;
                }
            }
        });
    }
}
