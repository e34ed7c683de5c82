package org.trefoilledge.core.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.membership.GossipMessage.Kind;

/**
 * Membership by gossip: a state machine that the control thread drives. Every message may be lost, delayed or
 * repeated. Times are milliseconds.
 *
 * <p>Of the messages that {@link #received} returns for a request, the one to the sender that has the same exchange id
 * is its response; all others, and all that it returns for a response, are requests.
 */
public final class Gossip {
    /** Four of five exchanges stay within the zone. */
    private static final double OWN_ZONE_PART = 0.8;
    /** So many consecutive exchanges must show a difference before tables are synchronised. */
    private static final int DIFFERENCES_BEFORE_SYNC = 3;
    /** Parts of the table with at most this many entries are sent whole; it also bounds the size of a message. */
    private static final int ENTRIES_PER_PART = 24;

    private static final int DEEPEST_PART = 40;
    private static final int INDIRECT_PROBES = 2;
    /** Entries are sent this many times the binary logarithm of the member count. */
    private static final int SENDS_PER_DOUBLING = 3;
    /** Entries that came with a synchronisation are rare at their receiver only, so they are passed on less. */
    private static final int SENDS_AFTER_SYNC = 3;
    /** A longer gap between two ticks means that this node was paused, so missing answers prove nothing. */
    private static final long PAUSE_MILLIS = 1_000;

    private static final int MOST_LOST_MEMBERS = 1_024;

    private final GossipSettings settings;
    private final MemberTable table;
    private final Rumours rumours = new Rumours();
    private final Isolation isolation;
    private final Map<Long, Ping> pings = new LinkedHashMap<>();
    private final Map<HostId, Long> probes = new HashMap<>();
    private final Map<HostId, MemberEntry> lost = new LinkedHashMap<>();
    private MemberEntry self;
    private long revision;
    private long exchanges;
    private long tickedAt;
    private long exchangeAt = Long.MIN_VALUE;
    private long reconnectAt;
    private long syncAt;
    private int differences;

    /** A ping without acknowledgement; the requester is set if another member asked for it. */
    private record Ping(
            MemberEntry to, boolean lost, long sentAt, Optional<MemberEntry> requester, long requesterExchange) {
        Ping sentAt(long time) {
            return new Ping(to, lost, time, requester, requesterExchange);
        }
    }

    /** Creates a node that knows only itself. */
    public Gossip(MemberEntry self, GossipSettings settings, long now) {
        this.settings = settings;
        this.self = self;
        revision = self.configRevision();
        table = new MemberTable(self.zone());
        isolation = new Isolation(self.zone(), settings.isolatedGraceMillis(), now);
        tickedAt = now;
        syncAt = now;
        reconnectAt = now;
        store(self, sends(), now);
    }

    /**
     * Announces the own entry; its version is ignored. A changed configuration revision alone is not a new version: it
     * travels in every message, and a new version of every member for each revision would exceed the control budget.
     */
    public void announce(MemberEntry entry, long now) {
        revision = entry.configRevision();
        if (!entry.announcesSame(self)) {
            announceVersion(entry, self.version() + 1, now);
        }
    }

    private void announceVersion(MemberEntry entry, long version, long now) {
        self = entry.withVersion(version);
        store(self, sends(), now);
    }

    /** This node has heard from the store. */
    public void storeHeard(long now) {
        isolation.storeHeard(0, now);
    }

    /** Returns what this node knows about its contact with the rest of the fleet. */
    public Isolation isolation() {
        return isolation;
    }

    /**
     * Adds members to contact, from the zone records or the settings. They are not part of the table until they have
     * answered; an entry whose host is not known yet may have a made-up host, as its answer tells the real one.
     */
    public void seed(Collection<MemberEntry> entries, long now) {
        for (MemberEntry entry : entries) {
            if (!present(entry.host()) && !entry.host().equals(self.host())) {
                remember(entry);
            }
        }
    }

    private void remember(MemberEntry entry) {
        lost.put(entry.host(), entry);
        if (lost.size() > MOST_LOST_MEMBERS) {
            lost.remove(lost.keySet().iterator().next());
        }
    }

    /** Returns the present members, this node included; suspected ones have the state {@code SUSPECT}. */
    public List<MemberEntry> alive() {
        return table.alive();
    }

    /** Returns a counter that grows with each change of the table. */
    public long changes() {
        return table.changes();
    }

    /** Returns the hash of the table; nodes with equal hashes know the same present members. */
    public long tableHash() {
        return table.hash();
    }

    /** Returns the messages to send now. Called every 100 ms. */
    public List<GossipSend> tick(long now, RandomGenerator random) {
        List<GossipSend> sends = new ArrayList<>();
        resumeAfterPause(now);
        tickedAt = now;
        overduePings(now, sends);
        overdueProbes(now);
        age(now);
        if (exchangeAt == Long.MIN_VALUE) {
            exchangeAt = now + random.nextLong(settings.exchangeMillis());
        }
        if (now >= exchangeAt) {
            exchangeAt = Math.max(exchangeAt + settings.exchangeMillis(), now);
            randomMember(random).ifPresent(to -> sends.add(ping(to, Optional.empty(), 0, now)));
        }
        if (now >= reconnectAt && !lost.isEmpty()) {
            boolean alone = table.alive().size() == 1;
            reconnectAt = now + (alone ? settings.exchangeMillis() : settings.reconnectMillis());
            sends.add(ping(randomLost(random), Optional.empty(), 0, now));
        }
        return sends;
    }

    private void resumeAfterPause(long now) {
        long gap = now - tickedAt;
        if (gap <= PAUSE_MILLIS) {
            return;
        }
        pings.clear();
        probes.clear();
        for (MemberTable.Row row : table.rows()) {
            if (row.entry.state() == MemberState.SUSPECT) {
                row.since += gap;
            }
        }
    }

    private Optional<MemberEntry> randomMember(RandomGenerator random) {
        List<MemberTable.Row> own = table.present(true);
        List<MemberTable.Row> others = table.present(false);
        boolean within = others.isEmpty() || (own.size() > 1 && random.nextDouble() < OWN_ZONE_PART);
        List<MemberTable.Row> from = within ? own : others;
        for (int attempt = 0; attempt < 4 && !from.isEmpty(); attempt++) {
            MemberEntry entry = from.get(random.nextInt(from.size())).entry;
            if (!entry.host().equals(self.host())) {
                return Optional.of(entry);
            }
        }
        return Optional.empty();
    }

    private MemberEntry randomLost(RandomGenerator random) {
        List<MemberEntry> entries = List.copyOf(lost.values());
        return entries.get(random.nextInt(entries.size()));
    }

    private GossipSend ping(MemberEntry to, Optional<MemberEntry> requester, long requesterExchange, long now) {
        long exchange = ++exchanges;
        pings.put(exchange, new Ping(to, !present(to.host()), now, requester, requesterExchange));
        return new GossipSend(to.host(), to.peerAddress(), message(Kind.PING, to.host(), exchange, now));
    }

    private GossipMessage message(Kind kind, HostId receiver, long exchange, long now) {
        List<MemberEntry> entries = new ArrayList<>();
        table.row(receiver).filter(row -> row.entry.state().severity() > 0).ifPresent(row -> entries.add(row.entry));
        for (HostId host : rumours.next(receiver)) {
            table.row(host).ifPresent(row -> entries.add(row.entry));
        }
        return message(kind, table.hash(), "", entries, exchange, now);
    }

    private GossipMessage message(
            Kind kind, long hash, String subject, List<MemberEntry> entries, long exchange, long now) {
        return new GossipMessage(
                self.host(), hash, kind, subject, entries, revision, isolation.storeAgeSeconds(now), exchange);
    }

    private void overduePings(long now, List<GossipSend> sends) {
        List<Ping> overdue = new ArrayList<>();
        pings.values().removeIf(ping -> now - ping.sentAt() >= settings.ackMillis() && overdue.add(ping));
        overdue.forEach(ping -> probe(ping, now, sends));
    }

    private void probe(Ping ping, long now, List<GossipSend> sends) {
        HostId host = ping.to().host();
        if (ping.requester().isPresent() || !unsuspected(host) || probes.containsKey(host)) {
            return;
        }
        probes.put(host, now);
        for (MemberEntry helper : helpers(host)) {
            GossipMessage message = message(Kind.PROBE, table.hash(), host.value(), List.of(self), ++exchanges, now);
            sends.add(new GossipSend(helper.host(), helper.peerAddress(), message));
        }
    }

    private boolean unsuspected(HostId host) {
        return table.row(host)
                .filter(row -> row.entry.state().present() && row.entry.state() != MemberState.SUSPECT)
                .isPresent();
    }

    private boolean present(HostId host) {
        return table.row(host).filter(row -> row.entry.state().present()).isPresent();
    }

    /** Members that responded most recently are the most likely to be able to help. */
    private List<MemberEntry> helpers(HostId subject) {
        return table.rows().stream()
                .filter(row ->
                        row.heardAt != Long.MIN_VALUE && row.entry.state().present())
                .filter(row -> !row.entry.host().equals(subject))
                .sorted(Comparator.comparingLong((MemberTable.Row row) -> row.heardAt)
                        .reversed())
                .limit(INDIRECT_PROBES)
                .map(row -> row.entry)
                .toList();
    }

    private void overdueProbes(long now) {
        List<HostId> overdue = new ArrayList<>();
        probes.forEach((host, since) -> {
            if (now - since >= settings.probeMillis()) {
                overdue.add(host);
            }
        });
        for (HostId host : overdue) {
            probes.remove(host);
            table.row(host)
                    .filter(row -> row.entry.state().present())
                    .ifPresent(row -> store(row.entry.withState(MemberState.SUSPECT), sends(), now));
        }
    }

    private void age(long now) {
        List<MemberTable.Row> suspects = new ArrayList<>();
        List<MemberTable.Row> forgotten = new ArrayList<>();
        for (MemberTable.Row row : table.rows()) {
            long age = now - row.since;
            if (row.entry.state() == MemberState.SUSPECT && age >= settings.suspectMillis()) {
                suspects.add(row);
            } else if (!row.entry.state().present() && age >= settings.deadMillis()) {
                forgotten.add(row);
            }
        }
        for (MemberTable.Row row : suspects) {
            store(row.entry.withState(MemberState.DEAD), sends(), now);
            remember(row.entry);
        }
        forgotten.forEach(row -> table.remove(row.entry.host()));
    }

    private int sends() {
        return SENDS_PER_DOUBLING
                * (Integer.SIZE - Integer.numberOfLeadingZeros(table.rows().size() + 1));
    }

    private void store(MemberEntry entry, int sends, long now) {
        table.put(entry, now);
        rumours.add(entry.host(), sends);
        if (entry.state().present()) {
            lost.remove(entry.host());
        }
    }

    /**
     * Takes a message of a peer and returns the response and further messages to send.
     *
     * @param from the peer, as its connection states it
     */
    public List<GossipSend> received(HostId from, GossipMessage message, long now) {
        boolean synchronising = message.kind() == Kind.PART || message.kind() == Kind.ENTRIES;
        int sends = synchronising ? SENDS_AFTER_SYNC : sends();
        message.entries().forEach(entry -> merge(entry, sends, now));
        heard(from, message, now);
        return switch (message.kind()) {
            case PING -> List.of(respond(from, message(Kind.ACK, from, message.exchange(), now)));
            case ACK -> acknowledged(from, message, now);
            case PROBE -> probeFor(from, message, now);
            case PROBED -> probed(message);
            case SYNC -> compare(from, message, now);
            case PART -> complete(from, message, now);
            case ENTRIES -> List.of();
        };
    }

    private GossipSend respond(HostId to, GossipMessage message) {
        return new GossipSend(
                to, table.row(to).map(row -> row.entry.peerAddress()).orElse(""), message);
    }

    private void heard(HostId from, GossipMessage message, long now) {
        probes.remove(from);
        table.row(from).ifPresent(row -> {
            row.heardAt = now;
            isolation.memberHeard(row.entry.zone(), now);
        });
        if (message.storeAgeSeconds() != GossipMessage.NEVER) {
            isolation.storeHeard(message.storeAgeSeconds() * 1_000L, now);
        }
    }

    private void merge(MemberEntry entry, int sends, long now) {
        if (entry.host().equals(self.host())) {
            refute(entry, now);
            return;
        }
        Optional<MemberTable.Row> known = table.row(entry.host());
        if (known.isEmpty() && !entry.state().present()) {
            return;
        }
        if (known.isEmpty() || entry.supersedes(known.get().entry)) {
            known.map(row -> row.entry)
                    .filter(before -> entry.state() == MemberState.DEAD)
                    .ifPresent(this::remember);
            store(entry, sends, now);
        }
    }

    /** Answers a suspicion, or an entry of this run that is newer than the own one, with a higher version. */
    private void refute(MemberEntry entry, long now) {
        if (entry.incarnation().equals(self.incarnation()) && entry.supersedes(self)) {
            announceVersion(self, entry.version() + 1, now);
        }
    }

    private List<GossipSend> acknowledged(HostId from, GossipMessage message, long now) {
        Ping ping = pings.remove(message.exchange());
        if (ping == null) {
            return List.of();
        }
        lost.remove(ping.to().host());
        if (ping.requester().isPresent()) {
            return List.of(report(ping, now));
        }
        return synchronise(ping, from, message, now);
    }

    private GossipSend report(Ping ping, long now) {
        MemberEntry requester = ping.requester().get();
        GossipMessage message =
                message(Kind.PROBED, table.hash(), ping.to().host().value(), List.of(), ping.requesterExchange(), now);
        return new GossipSend(requester.host(), requester.peerAddress(), message);
    }

    private List<GossipSend> synchronise(Ping ping, HostId from, GossipMessage message, long now) {
        differences = message.tableHash() == table.hash() ? 0 : differences + 1;
        if (!ping.lost() && (differences < DIFFERENCES_BEFORE_SYNC || now < syncAt)) {
            return List.of();
        }
        differences = 0;
        syncAt = now + settings.syncMillis();
        GossipMessage sync = message(Kind.SYNC, table.hash(), "", List.of(self), ++exchanges, now);
        return List.of(new GossipSend(from, ping.to().peerAddress(), sync));
    }

    private GossipSend sync(HostId to, String prefix, long exchange, long now) {
        return respond(to, message(Kind.SYNC, table.hash(prefix), prefix, List.of(self), exchange, now));
    }

    private List<GossipSend> compare(HostId from, GossipMessage message, long now) {
        String prefix = message.subject();
        if (prefix.length() > DEEPEST_PART || table.hash(prefix) == message.tableHash()) {
            return List.of();
        }
        List<MemberEntry> part = table.part(prefix);
        if (part.size() <= ENTRIES_PER_PART || prefix.length() == DEEPEST_PART) {
            return List.of(
                    respond(from, message(Kind.PART, table.hash(prefix), prefix, part, message.exchange(), now)));
        }
        return List.of(sync(from, prefix + '0', message.exchange(), now), sync(from, prefix + '1', ++exchanges, now));
    }

    /** Sends what the peer lacks or has in an older version, in messages of bounded size. */
    private List<GossipSend> complete(HostId from, GossipMessage message, long now) {
        Map<HostId, MemberEntry> theirs = new HashMap<>();
        message.entries().forEach(entry -> theirs.put(entry.host(), entry));
        List<MemberEntry> newer = new ArrayList<>();
        for (MemberEntry entry : table.part(message.subject())) {
            MemberEntry other = theirs.get(entry.host());
            if (other == null || entry.supersedes(other)) {
                newer.add(entry);
            }
        }
        List<GossipSend> sends = new ArrayList<>();
        for (int first = 0; first < newer.size(); first += ENTRIES_PER_PART) {
            List<MemberEntry> chunk = newer.subList(first, Math.min(newer.size(), first + ENTRIES_PER_PART));
            long exchange = first == 0 ? message.exchange() : ++exchanges;
            sends.add(respond(from, message(Kind.ENTRIES, table.hash(), "", chunk, exchange, now)));
        }
        return sends;
    }

    private List<GossipSend> probeFor(HostId from, GossipMessage message, long now) {
        Optional<MemberEntry> subject = table.rows().stream()
                .map(row -> row.entry)
                .filter(entry -> entry.host().value().equals(message.subject()))
                .findFirst();
        Optional<MemberEntry> requester = table.row(from).map(row -> row.entry);
        if (subject.isEmpty() || requester.isEmpty()) {
            return List.of();
        }
        return List.of(ping(subject.get(), requester, message.exchange(), now));
    }

    private List<GossipSend> probed(GossipMessage message) {
        probes.keySet().removeIf(host -> host.value().equals(message.subject()));
        return List.of();
    }

    /** A message to this member could not be sent, or its connection broke. */
    public void failed(HostId to, long now) {
        pings.replaceAll(
                (exchange, ping) -> ping.to().host().equals(to) ? ping.sentAt(now - settings.ackMillis()) : ping);
    }
}
