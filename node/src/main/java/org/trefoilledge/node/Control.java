package org.trefoilledge.node;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.trefoilledge.configstore.StoredValue;
import org.trefoilledge.core.Clock;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.Incarnation;
import org.trefoilledge.core.ZoneId;
import org.trefoilledge.core.authority.Authority;
import org.trefoilledge.core.authority.AuthorityEvent;
import org.trefoilledge.core.authority.AuthoritySettings;
import org.trefoilledge.core.authority.Member;
import org.trefoilledge.core.authority.ZoneRecord;
import org.trefoilledge.core.config.ConfigLog;
import org.trefoilledge.core.config.Inventory;
import org.trefoilledge.core.idempotency.ArbiterTable;
import org.trefoilledge.core.limit.LimitSettings;
import org.trefoilledge.core.limit.TokenBorrower;
import org.trefoilledge.core.limit.TokenLender;
import org.trefoilledge.core.membership.Delegates;
import org.trefoilledge.core.membership.Gossip;
import org.trefoilledge.core.membership.GossipSettings;
import org.trefoilledge.core.membership.MemberEntry;
import org.trefoilledge.core.membership.MemberState;
import org.trefoilledge.core.overload.LoadReport;
import org.trefoilledge.core.placement.Candidate;
import org.trefoilledge.core.placement.Placer;
import org.trefoilledge.wire.PeerTransport;
import org.trefoilledge.wire.generated.Envelope;
import org.trefoilledge.wire.generated.RecordPull;

/**
 * The control thread: membership, configuration, authority and limits. It publishes immutable snapshots that traffic
 * threads read without locks.
 */
final class Control {
    /** The snapshot before the first configuration. */
    static final Snapshot NOTHING = new Snapshot(0, Inventory.EMPTY);

    private static final Logger LOG = LoggerFactory.getLogger(Control.class);
    private static final long LOAN_TICK_MILLIS = 10;
    private static final long TICK_MILLIS = 100;
    private static final long RECORD_PULL_MILLIS = 2_000;
    private static final long RECORD_TIMEOUT_MILLIS = 500;
    private static final long SEED_MILLIS = 3_000;
    private static final long ARBITER_TICK_MILLIS = 1_000;

    private final NodeSettings settings;
    private final Incarnation incarnation;
    private final GuardService guard;
    private final Placer placer;
    private final ZoneRecords records;
    private final ArbiterTable table;
    private final StoreWorker store;
    private final PeerTransport transport;
    private final ScheduledExecutorService thread;
    private final Clock clock;
    private final Random random = new Random();
    private final Gossip membership;
    private final GossipDriver gossip;
    private final ConfigFollower config;
    private final LoanDriver loans;
    private final AuthorityDriver authority;
    private volatile Snapshot snapshot = NOTHING;
    private volatile boolean isolated;
    private volatile List<MemberEntry> members = List.of();
    private volatile boolean leaving;
    private volatile long storeHeardMillis = Long.MIN_VALUE;
    private long seenChanges = -1;
    private long nextRecordPull;
    private long nextSeed;
    private long nextArbiterTick;

    Control(
            NodeSettings settings,
            Incarnation incarnation,
            GuardService guard,
            Placer placer,
            ZoneRecords records,
            ArbiterTable table,
            TokenBorrower wallet,
            StoreWorker store,
            PeerTransport transport,
            ScheduledExecutorService thread,
            Clock clock) {
        this.settings = settings;
        this.incarnation = incarnation;
        this.guard = guard;
        this.placer = placer;
        this.records = records;
        this.table = table;
        this.store = store;
        this.transport = transport;
        this.thread = thread;
        this.clock = clock;
        long now = clock.millis();
        GossipSettings defaults = GossipSettings.DEFAULT;
        membership = new Gossip(
                self(now), defaults.withIsolatedGraceMillis(settings.limits().isolatedGraceMillis()), now);
        config =
                new ConfigFollower(store, transport, thread, clock, this::applied, this::randomPeers, this::storeHeard);
        gossip = new GossipDriver(membership, transport, thread, clock, config::heard);
        authority = new AuthorityDriver(
                settings.zone(),
                new Authority(
                        settings.host(),
                        incarnation,
                        transport.address(),
                        settings.zone(),
                        AuthoritySettings.DEFAULT,
                        now),
                table,
                records,
                store,
                transport,
                thread,
                clock,
                System::currentTimeMillis);
        loans = new LoanDriver(
                settings.host(),
                settings.zone(),
                wallet,
                new TokenLender(LimitSettings.DEFAULT),
                authority,
                records,
                transport,
                thread,
                clock);
    }

    void start() {
        repeat(loans::tick, LOAN_TICK_MILLIS);
        repeat(this::tick, TICK_MILLIS);
    }

    private void repeat(Runnable work, long millis) {
        var unused = thread.scheduleWithFixedDelay(() -> guarded(work), millis, millis, TimeUnit.MILLISECONDS);
    }

    Snapshot snapshot() {
        return snapshot;
    }

    boolean isolated() {
        return isolated;
    }

    AuthorityDriver authority() {
        return authority;
    }

    GossipDriver gossip() {
        return gossip;
    }

    ConfigFollower config() {
        return config;
    }

    LoanDriver loans() {
        return loans;
    }

    /** Announces that this node drains, and transfers its shards. */
    void leave() {
        leaving = true;
        thread.execute(() -> guarded(authority::leave));
    }

    /** Returns whether this node's shards were transferred. */
    boolean left() {
        return authority.left();
    }

    private void guarded(Runnable work) {
        try {
            work.run();
        } catch (RuntimeException e) {
            LOG.error("control: a step failed.", e);
        }
    }

    private void tick() {
        long now = clock.millis();
        membership.announce(self(now), now);
        seed(now);
        gossip.tick(random);
        if (membership.changes() != seenChanges) {
            seenChanges = membership.changes();
            membersChanged();
        }
        config.tick(delegate());
        if (snapshot.revision() > 0) {
            suspicions();
            authority.tick(random);
        }
        pullRecords(now);
        isolated = snapshot.revision() > 0
                && !membership.isolation().trusted(snapshot.inventory().zones(), now);
        if (now >= nextArbiterTick) {
            nextArbiterTick = now + ARBITER_TICK_MILLIS;
            table.tick(now);
        }
    }

    private MemberEntry self(long now) {
        Optional<Announcement> announced = guard.announcement();
        return new MemberEntry(
                settings.host(),
                settings.zone(),
                transport.address(),
                incarnation,
                1,
                announced.map(Announcement::service),
                announced.map(Announcement::slots).orElse(0),
                state(announced, now),
                config == null ? 0 : config.revision());
    }

    private MemberState state(Optional<Announcement> announced, long now) {
        if (leaving || snapshot.inventory().drainedHosts().contains(settings.host())) {
            return MemberState.DRAINING;
        }
        if (announced.isEmpty() || !announced.get().valid(now)) {
            return MemberState.NO_UPSTREAM;
        }
        return switch (announced.get().state()) {
            case STARTING -> MemberState.STARTING;
            case SERVING -> MemberState.SERVING;
            case DRAINING -> MemberState.DRAINING;
        };
    }

    /** Finds members through the settings and the zone records, as long as this node knows few. */
    private void seed(long now) {
        if (now < nextSeed) {
            return;
        }
        nextSeed = now + SEED_MILLIS;
        List<MemberEntry> seeds = new ArrayList<>();
        for (int i = 0; i < settings.seeds().size(); i++) {
            seeds.add(seed(
                    new HostId("seed-" + i), settings.zone(), settings.seeds().get(i)));
        }
        records.all().forEach((zone, record) -> record.members()
                .forEach(member -> seeds.add(seed(member.host(), zone, member.address()))));
        membership.seed(seeds, now);
        if (membership.alive().size() == 1) {
            readRecords();
        }
    }

    private static MemberEntry seed(HostId host, ZoneId zone, String address) {
        return new MemberEntry(
                host, zone, address, new Incarnation(0), 0, Optional.empty(), 0, MemberState.NO_UPSTREAM, 0);
    }

    private void readRecords() {
        store.run(
                s -> s.range("zones/", "zones0", 64),
                values -> values.forEach(this::learn),
                failure -> LOG.debug("member: the zone records cannot be read: {}.", failure.getMessage()));
    }

    private void learn(StoredValue value) {
        records.learn(new ZoneId(value.key().substring("zones/".length())), ZoneRecord.decode(value.value()));
    }

    private void membersChanged() {
        members = membership.alive();
        List<Candidate> candidates = new ArrayList<>();
        for (MemberEntry entry : members) {
            if (entry.state() == MemberState.SERVING && entry.service().isPresent() && entry.slots() > 0) {
                candidates.add(new Candidate(
                        entry.host(),
                        entry.zone(),
                        entry.service().get(),
                        entry.peerAddress(),
                        entry.incarnation(),
                        entry.slots()));
            }
        }
        placer.updateCandidates(candidates);
        LOG.info("member: {} members, {} of them serve.", members.size(), candidates.size());
    }

    private boolean delegate() {
        return Delegates.of(settings.zone(), members).contains(settings.host());
    }

    private List<String> randomPeers(int count) {
        List<String> addresses = new ArrayList<>();
        for (MemberEntry entry : members) {
            if (!entry.host().equals(settings.host())) {
                addresses.add(entry.peerAddress());
            }
        }
        Collections.shuffle(addresses, random);
        return addresses.subList(0, Math.min(count, addresses.size()));
    }

    /** Tells the authority protocol which panel members membership holds to be dead or alive. */
    private void suspicions() {
        Map<HostId, MemberEntry> alive = new LinkedHashMap<>();
        members.stream()
                .filter(entry -> entry.zone().equals(settings.zone()))
                .forEach(entry -> alive.put(entry.host(), entry));
        List<Member> panel =
                records.record(settings.zone()).map(ZoneRecord::members).orElse(List.of());
        for (Member member : panel) {
            MemberEntry entry = alive.get(member.host());
            boolean same = entry != null && entry.incarnation().equals(member.incarnation());
            if (same && entry.state() != MemberState.SUSPECT) {
                authority.on(new AuthorityEvent.Trusted(member.host(), member.incarnation(), entry.peerAddress()));
            } else if (!same) {
                authority.on(new AuthorityEvent.Suspected(member.host(), member.incarnation()));
            }
        }
    }

    /** Learns the records of all zones from one random member of each. */
    private void pullRecords(long now) {
        if (now < nextRecordPull && !records.takeRefresh()) {
            return;
        }
        nextRecordPull = now + RECORD_PULL_MILLIS;
        for (ZoneId zone : snapshot.inventory().zones()) {
            List<MemberEntry> known = members.stream()
                    .filter(entry -> entry.zone().equals(zone) && !entry.host().equals(settings.host()))
                    .toList();
            if (!known.isEmpty()) {
                pullRecord(zone, known.get(random.nextInt(known.size())).peerAddress());
            }
        }
    }

    private void pullRecord(ZoneId zone, String address) {
        Envelope request = Envelope.newBuilder()
                .setRecordPull(RecordPull.newBuilder().setZone(zone.value()).setVersion(records.version(zone)))
                .build();
        var unused = transport
                .sendRequest(address, request, RECORD_TIMEOUT_MILLIS)
                .thenAcceptAsync(
                        answer -> AuthorityMessages.decode(
                                        answer.getRecordAnswer().getRecord())
                                .ifPresent(record -> records.learn(zone, record)),
                        thread);
    }

    private void applied(ConfigLog log) {
        Snapshot next = new Snapshot(log.revision(), log.inventory());
        snapshot = next;
        loans.configure(next.inventory());
        guard.configure();
    }

    private void storeHeard(long now) {
        storeHeardMillis = now;
        membership.storeHeard(now);
    }

    Map<String, Object> status() {
        long now = clock.millis();
        LoadReport load = guard.report(now);
        Map<String, Object> status = new LinkedHashMap<>();
        status.put("host", settings.host().value());
        status.put("zone", settings.zone().value());
        status.put("incarnation", incarnation.value());
        status.put("service", guard.announcement().map(a -> a.service().value()).orElse(""));
        status.put("upstreamState", state(guard.announcement(), now).name().toLowerCase(java.util.Locale.ROOT));
        status.put("revision", snapshot.revision());
        status.put("digest", config.digest());
        long age = storeHeardMillis == Long.MIN_VALUE ? -1 : (now - storeHeardMillis) / 1_000;
        status.put("storeReachable", age >= 0 && age <= 10);
        status.put("storeAgeSeconds", age);
        status.put("isolated", isolated);
        status.put("members", members.stream().map(Control::describe).toList());
        status.put("shards", authority.shards().stream().sorted().toList());
        status.put("authority", !authority.shards().isEmpty());
        status.put("inFlight", load.inFlight());
        status.put("limit", load.limit());
        status.put("queueDelayMillis", load.queueDelayMillis());
        status.put("admissionLevel", load.admissionLevel());
        return status;
    }

    private static Map<String, Object> describe(MemberEntry entry) {
        Map<String, Object> member = new LinkedHashMap<>();
        member.put("host", entry.host().value());
        member.put("zone", entry.zone().value());
        member.put("service", entry.service().map(s -> s.value()).orElse(""));
        member.put("state", entry.state().name().toLowerCase(java.util.Locale.ROOT));
        member.put("slots", entry.slots());
        member.put("revision", entry.configRevision());
        return member;
    }
}
