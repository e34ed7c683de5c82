package org.trefoilledge.core.authority;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.Incarnation;
import org.trefoilledge.core.ZoneId;

/**
 * Simulates the nodes of a zone with an in-memory store on a virtual clock. Each process has its own clock offset.
 * Checks after each step that at most one process, running or paused, may act for a shard, and that an owner whose
 * table is marked as complete has all earlier claims of the shard.
 */
final class ZoneSimulation {
    static final int SHARDS = 8;
    private static final long STEP_MILLIS = 20;
    private static final long SUSPECT_AFTER_MILLIS = 1_500;

    final Random random;
    final List<HostId> hosts = new ArrayList<>();
    final List<Node> processes = new ArrayList<>();
    /** Network partition by host, 0 if absent. Messages do not cross partitions. */
    final Map<HostId, Integer> side = new HashMap<>();

    final Map<HostId, Boolean> storeCut = new HashMap<>();
    final long[] claims = new long[SHARDS];
    long now;
    boolean storeDown;
    double loss;
    double lostResponses;
    int maxDelay = 4;
    int reads;
    int swaps;

    private final PriorityQueue<Timer> timers = new PriorityQueue<>();
    private final Map<Integer, Node> lastActor = new HashMap<>();
    private final long[] lastAct = new long[SHARDS];
    private Optional<ZoneRecord> stored = Optional.empty();
    private long revision;
    private long sequence;

    private record Timer(long at, long order, Runnable run) implements Comparable<Timer> {
        @Override
        public int compareTo(Timer other) {
            return at == other.at ? Long.compare(order, other.order) : Long.compare(at, other.at);
        }
    }

    record Table(boolean complete, long known) {}

    /** One run of a node. */
    final class Node {
        final HostId host;
        final Incarnation incarnation;
        final long offset = random.nextInt(1_000_000);
        final Authority authority;
        final Map<Integer, Table> tables = new HashMap<>();
        final Map<String, Table> received = new HashMap<>();
        final Map<HostId, Long> lastHeard = new HashMap<>();
        final Map<HostId, Incarnation> lastRun = new HashMap<>();
        final List<Runnable> waiting = new ArrayList<>();
        long pausedUntil;
        boolean dead;

        Node(HostId host) {
            this.host = host;
            incarnation = new Incarnation(now + 1_000_000 + sequence++);
            AuthoritySettings settings = AuthoritySettings.DEFAULT.withShards(SHARDS);
            authority = new Authority(host, incarnation, host + ":1", new ZoneId("z"), settings, clock());
        }

        long clock() {
            return now + offset;
        }

        boolean paused() {
            return now < pausedUntil;
        }

        /** Returns whether this is the latest run of the host. Earlier runs receive no requests. */
        boolean latest() {
            return processes.stream().noneMatch(p -> p.host.equals(host) && p.incarnation.compareTo(incarnation) > 0);
        }

        void run() {
            if (dead || paused()) {
                return;
            }
            List<Runnable> delayed = new ArrayList<>(waiting);
            waiting.clear();
            delayed.forEach(Runnable::run);
            if (now % 500 == 0) {
                gossip();
            }
            execute(authority.tick(clock(), random));
        }

        /** Handles an event now, or after the pause if the process is paused. */
        void event(AuthorityEvent event) {
            if (dead) {
                return;
            }
            if (paused()) {
                waiting.add(() -> event(event));
                return;
            }
            execute(authority.handle(event, clock()));
        }

        private void gossip() {
            for (HostId other : hosts) {
                Node peer = running(other);
                if (peer != null && !peer.paused() && connected(host, other)) {
                    lastHeard.put(other, now);
                    lastRun.put(other, peer.incarnation);
                    event(new AuthorityEvent.Trusted(other, peer.incarnation, other + ":1"));
                } else if (lastRun.containsKey(other) && now - lastHeard.get(other) >= SUSPECT_AFTER_MILLIS) {
                    event(new AuthorityEvent.Suspected(other, lastRun.get(other)));
                }
            }
        }

        private void execute(List<AuthorityAction> actions) {
            actions.forEach(this::execute);
        }

        private void execute(AuthorityAction action) {
            if (action instanceof AuthorityAction.ReadRecord read) {
                read(this, read.sentAt());
            } else if (action instanceof AuthorityAction.SwapRecord swap) {
                swap(this, swap);
            } else if (action instanceof AuthorityAction.SendPromise send) {
                request(
                        this,
                        send.to(),
                        peer -> peer.answering(
                                id -> new AuthorityEvent.PromiseAsked(host, id, send.request()),
                                answer -> respond(
                                        peer,
                                        this,
                                        new AuthorityEvent.PromiseAnswered(
                                                send.to(), send.sentAt(), (PeerMessage.PromiseAnswer) answer))));
            } else if (action instanceof AuthorityAction.SendAdopt send) {
                request(
                        this,
                        send.to(),
                        peer -> peer.answering(
                                id -> new AuthorityEvent.AdoptAsked(host, id, send.request()),
                                answer -> respond(
                                        peer,
                                        this,
                                        new AuthorityEvent.AdoptAnswered(
                                                send.to(), send.exchange(), (PeerMessage.AdoptAnswer) answer))));
            } else if (action instanceof AuthorityAction.AnswerPromise answer) {
                answers.remove(answer.requestId()).accept(answer.answer());
            } else if (action instanceof AuthorityAction.AnswerAdopt answer) {
                answers.remove(answer.requestId()).accept(answer.answer());
            } else {
                shardAction(action);
            }
        }

        private final Map<Long, Consumer<PeerMessage>> answers = new HashMap<>();

        private void answering(LongFunction<AuthorityEvent> event, Consumer<PeerMessage> answer) {
            long id = sequence++;
            answers.put(id, answer);
            event(event.apply(id));
        }

        private void shardAction(AuthorityAction action) {
            if (action instanceof AuthorityAction.OpenShard open) {
                tables.put(open.shard(), new Table(open.created(), 0));
            } else if (action instanceof AuthorityAction.CloseShard close) {
                tables.remove(close.shard());
            } else if (action instanceof AuthorityAction.AcceptHandOver accept) {
                Table table = received.get(accept.shard() + "/" + accept.version());
                long ownClaims = tables.get(accept.shard()).known();
                tables.put(accept.shard(), new Table(table.complete(), table.known() + ownClaims));
            } else if (action instanceof AuthorityAction.HandOverShard handOver) {
                Table table = tables.remove(handOver.shard());
                request(this, handOver.to(), peer -> {
                    peer.received.put(handOver.shard() + "/" + handOver.version(), table);
                    peer.event(new AuthorityEvent.HandOverReceived(handOver.shard(), handOver.version()));
                });
            }
        }
    }

    ZoneSimulation(long seed, int count) {
        random = new Random(seed);
        for (int i = 0; i < count; i++) {
            hosts.add(new HostId("h" + i));
        }
        hosts.forEach(this::start);
    }

    Node start(HostId host) {
        Node process = new Node(host);
        processes.add(process);
        return process;
    }

    /** Returns the latest run of a host, which receives the requests to its address; null if it is dead. */
    Node running(HostId host) {
        for (int i = processes.size() - 1; i >= 0; i--) {
            Node process = processes.get(i);
            if (process.host.equals(host)) {
                return process.dead ? null : process;
            }
        }
        return null;
    }

    boolean connected(HostId a, HostId b) {
        return side.getOrDefault(a, 0).equals(side.getOrDefault(b, 0));
    }

    void runFor(long millis) {
        for (long end = now + millis; now < end; ) {
            step();
        }
    }

    void step() {
        now += STEP_MILLIS;
        while (!timers.isEmpty() && timers.peek().at() <= now) {
            timers.poll().run().run();
        }
        processes.removeIf(process -> process.dead && !process.latest());
        List.copyOf(processes).forEach(Node::run);
        for (int shard = 0; shard < SHARDS; shard++) {
            check(shard);
        }
    }

    /** Returns the number of shards whose owner may act and is running. */
    int served() {
        int served = 0;
        for (int shard = 0; shard < SHARDS; shard++) {
            int s = shard;
            if (processes.stream().anyMatch(p -> !p.dead && !p.paused() && p.authority.mayAct(s, p.clock()))) {
                served++;
            }
        }
        return served;
    }

    private void check(int shard) {
        Node actor = null;
        for (Node process : processes) {
            if (!process.dead && process.authority.mayAct(shard, process.clock())) {
                if (actor != null) {
                    throw new AssertionError("at " + now + " both " + actor.host + "/" + actor.incarnation + " and "
                            + process.host + "/" + process.incarnation + " may act for shard " + shard + "; store: "
                            + stored + "; " + actor.authority.record() + "; " + process.authority.record());
                }
                actor = process;
            }
        }
        if (actor != null) {
            checkLateDispatch(actor, shard);
        }
        if (actor != null && !actor.paused()) {
            claim(actor, shard);
        }
    }

    /**
     * Checks the time between two owners: guards must refuse a late dispatch, which the last owner checked at the end
     * of its authority, before another owner acts.
     */
    private void checkLateDispatch(Node actor, int shard) {
        Node last = lastActor.put(shard, actor);
        long gap = now - lastAct[shard];
        lastAct[shard] = now;
        if (last != null && last != actor && gap < AuthoritySettings.DEFAULT.lateDispatchMillis()) {
            throw new AssertionError("at " + now + " " + actor.host + " acts for shard " + shard + " " + gap
                    + " ms after " + last.host + " could");
        }
    }

    private void claim(Node actor, int shard) {
        Table table = actor.tables.get(shard);
        if (table == null) {
            throw new AssertionError(actor.host + " may act for shard " + shard + " that was not opened");
        }
        if (table.complete() && table.known() != claims[shard]) {
            throw new AssertionError("at " + now + " " + actor.host + " knows " + table.known() + " of " + claims[shard]
                    + " claims of shard " + shard + " and counts its table as complete");
        }
        claims[shard]++;
        actor.tables.put(shard, new Table(table.complete(), table.known() + 1));
    }

    // ---- Messages

    private long delay() {
        return 1L + random.nextInt(maxDelay);
    }

    private void after(long millis, Runnable run) {
        timers.add(new Timer(now + millis, sequence++, run));
    }

    private void request(Node from, HostId to, Consumer<Node> delivery) {
        after(delay(), () -> {
            Node peer = running(to);
            if (peer != null && connected(from.host, to) && random.nextDouble() >= loss) {
                delivery.accept(peer);
            }
        });
    }

    private void respond(Node from, Node to, AuthorityEvent response) {
        after(delay(), () -> {
            if (connected(from.host, to.host) && random.nextDouble() >= loss) {
                to.event(response);
            }
        });
    }

    // ---- Store

    private boolean storeReachable(Node process) {
        return !storeDown && !storeCut.getOrDefault(process.host, false);
    }

    private void read(Node process, long sentAt) {
        reads++;
        after(delay(), () -> {
            if (!storeReachable(process)) {
                process.event(new AuthorityEvent.ReadFailed(sentAt));
                return;
            }
            Optional<ZoneRecord> copy = stored.map(record -> ZoneRecord.decode(record.encode()));
            AuthorityEvent response = new AuthorityEvent.RecordRead(sentAt, copy, revision);
            boolean lost = random.nextDouble() < lostResponses;
            after(delay(), () -> process.event(lost ? new AuthorityEvent.ReadFailed(sentAt) : response));
        });
    }

    private void swap(Node process, AuthorityAction.SwapRecord swap) {
        swaps++;
        String operation = swap.record().operation();
        after(delay(), () -> {
            if (!storeReachable(process)) {
                process.event(new AuthorityEvent.SwapUnavailable(operation));
            } else if (random.nextDouble() < lostResponses) {
                // The response is lost; the write takes effect now, later or never.
                int outcome = random.nextInt(3);
                if (outcome < 2) {
                    after((long) outcome * random.nextInt(3_000), () -> write(swap));
                }
                after(random.nextInt(1_000), () -> process.event(new AuthorityEvent.SwapOutcomeUnknown(operation)));
            } else {
                boolean written = write(swap);
                long writtenRevision = revision;
                after(
                        delay(),
                        () -> process.event(
                                written
                                        ? new AuthorityEvent.Swapped(operation, writtenRevision)
                                        : new AuthorityEvent.SwapLostRace(operation)));
            }
        });
    }

    private boolean write(AuthorityAction.SwapRecord swap) {
        if (swap.expectedRevision() != revision) {
            return false;
        }
        stored.ifPresent(before -> noteTransfers(before, swap.record()));
        stored = Optional.of(swap.record());
        revision += 1 + random.nextInt(5);
        return true;
    }

    /**
     * Exempts voluntary transfers from the late-dispatch check: pending claims move with the table, so no delay is
     * required.
     */
    private void noteTransfers(ZoneRecord before, ZoneRecord after) {
        for (int shard = 0; shard < SHARDS; shard++) {
            HostId owner = before.shards().get(shard);
            if (!owner.equals(after.shards().get(shard)) && after.member(owner).isPresent()) {
                lastActor.remove(shard);
            }
        }
    }

    /** Returns the record in the store. */
    Optional<ZoneRecord> stored() {
        return stored;
    }
}
