package org.trefoilledge.core.authority;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.Incarnation;
import org.trefoilledge.core.ZoneId;

/**
 * One node's part in the agreement on who acts for the shards of its availability zone. Reads of the zone record, or
 * promises of a majority of the panel, give authority for a limited time; every action for a shard must be preceded by
 * a check with {@link #mayAct}. A state machine without threads or clock: the node carries out the actions and reports
 * their ends as events.
 */
public final class Authority {
    private static final long ROUND_MILLIS = 500;
    private static final long SWAP_OVERDUE_MILLIS = 5_000;
    private static final int BACKOFF_MILLIS = 400;
    private static final int RECOVERY_PEERS = 16;

    private final Member self;
    private final ZoneId zone;
    private final AuthoritySettings settings;
    private final Voter voter;
    private final Renewal renewal;
    private final PeerView view = new PeerView();
    private final Planner planner;
    private final OwnedShards owned = new OwnedShards();

    private Optional<ZoneRecord> record = Optional.empty();
    private long revision = -1; // -1: the record came from a peer, so it must be read before it can be changed
    private Optional<PendingSwap> pending = Optional.empty();
    private Optional<AdoptionRound> round = Optional.empty();
    private List<AuthorityAction> out = new ArrayList<>();
    private long lastSeen;
    private long nextRead;
    private long nextChange;
    private long nextAsk;
    private long operations;
    private long exchanges;
    private boolean absent;
    private boolean active; // whether the known record shows this run as active
    private boolean backOff = true;
    private boolean leaving;
    private boolean retired;

    /**
     * Creates the machine of a node that has just started.
     *
     * @param incarnation must be greater than that of every earlier run on this host
     */
    public Authority(
            HostId host,
            Incarnation incarnation,
            String peerAddress,
            ZoneId zone,
            AuthoritySettings settings,
            long now) {
        self = new Member(host, incarnation, peerAddress, Member.State.ACTIVE, 0);
        this.zone = zone;
        this.settings = settings;
        voter = new Voter(incarnation, settings, now);
        renewal = new Renewal(settings, now);
        planner = new Planner(self, settings, view);
        lastSeen = now;
        nextRead = now;
        nextAsk = now + 2 * settings.readMillis();
    }

    /** Returns the zone. */
    public ZoneId zone() {
        return zone;
    }

    /** Returns whether this node may act for a shard at this time. No other node may while this is true. */
    public boolean mayAct(int shard, long now) {
        return acting(now) && owned.usable(shard);
    }

    /** Returns the shards that this node may act for at this time. */
    public Set<Integer> shards(long now) {
        return acting(now) ? owned.usable() : Set.of();
    }

    private boolean acting(long now) {
        return !retired && active && renewal.valid(now);
    }

    /**
     * Returns an immutable copy of this node's authority for other threads. Publish it after each event or tick and
     * before the actions are carried out, so that a shard is given up before the record says so.
     */
    public Grant grant() {
        return retired || !active ? Grant.NONE : new Grant(renewal.until(), owned.usable());
    }

    /** Returns the latest record version that this node knows. */
    public Optional<ZoneRecord> record() {
        return record;
    }

    /** Starts to transfer all shards and to leave the panel. Goes on with {@link #tick} until {@link #left}. */
    public List<AuthorityAction> leave(long now) {
        leaving = true;
        nextChange = now;
        return List.of();
    }

    /** Returns whether the node may stop: it asked to leave and owns nothing that another member could take. */
    public boolean left() {
        return leaving && pending.isEmpty() && planner.left(record);
    }

    /** Advances time. Call it every 100 ms or more often. */
    public List<AuthorityAction> tick(long now, RandomGenerator random) {
        noticePause(now);
        readIfDue(now);
        askPromisesIfNeeded(now);
        askRecordIfRecovering(now, random);
        if (backOff) {
            backOff = false;
            nextChange = Math.max(nextChange, now + random.nextInt(BACKOFF_MILLIS));
        }
        pending.filter(swap -> swap.overdue(now, SWAP_OVERDUE_MILLIS)).ifPresent(PendingSwap::outcomeUnknown);
        if (!retired && pending.isEmpty() && now >= nextChange) {
            change(now, random);
        }
        return drain();
    }

    /** Handles an event. */
    public List<AuthorityAction> on(AuthorityEvent event, long now) {
        noticePause(now);
        if (event instanceof AuthorityEvent.RecordRead read) {
            recordRead(read, now);
        } else if (event instanceof AuthorityEvent.Swapped swapped) {
            swapped(swapped, now);
        } else if (event instanceof AuthorityEvent.SwapLostRace lost) {
            swapUncertain(lost.operation(), now);
        } else if (event instanceof AuthorityEvent.SwapOutcomeUnknown unknown) {
            swapUncertain(unknown.operation(), now);
        } else if (event instanceof AuthorityEvent.SwapUnavailable unavailable) {
            swapUnavailable(unavailable.operation());
        } else {
            onPeer(event, now);
        }
        return drain();
    }

    private void onPeer(AuthorityEvent event, long now) {
        if (event instanceof AuthorityEvent.PromiseAsked asked) {
            PeerMessage.PromiseAnswer answer = voter.promise(asked.from(), asked.request(), votable(), now);
            out.add(new AuthorityAction.AnswerPromise(asked.requestId(), answer));
        } else if (event instanceof AuthorityEvent.AdoptAsked asked) {
            learn(asked.request().record(), now);
            PeerMessage.AdoptAnswer answer = voter.adopt(asked.request(), votable(), now);
            out.add(new AuthorityAction.AnswerAdopt(asked.requestId(), answer));
        } else if (event instanceof AuthorityEvent.PromiseAnswered answered) {
            promiseAnswered(answered, now);
        } else if (event instanceof AuthorityEvent.AdoptAnswered answered) {
            adoptAnswered(answered, now);
        } else if (event instanceof AuthorityEvent.Trusted trusted) {
            trusted(trusted, now);
        } else if (event instanceof AuthorityEvent.Suspected suspected) {
            view.suspected(suspected.host(), suspected.incarnation(), now);
        } else if (event instanceof AuthorityEvent.HandOverReceived handed) {
            handOverReceived(handed, now);
        }
    }

    private List<AuthorityAction> drain() {
        List<AuthorityAction> actions = out;
        out = new ArrayList<>();
        return actions;
    }

    // A run that was paused may have been replaced meanwhile, and the votes of its seat with it.
    private void noticePause(long now) {
        if (now - lastSeen > settings.promiseMillis()) {
            voter.recoverAgain(now);
            nextRead = now;
            nextAsk = now + 2 * settings.readMillis();
        }
        lastSeen = now;
    }

    private Optional<ZoneRecord> votable() {
        return retired ? Optional.empty() : record;
    }

    // ---- the store

    private void readIfDue(long now) {
        if (now < nextRead) {
            return;
        }
        boolean seated =
                absent || record.filter(r -> r.member(self.host()).isPresent()).isPresent();
        boolean hurried = seated || pending.isPresent() || !voter.recovered();
        nextRead = now + (hurried ? settings.readMillis() : settings.observerReadMillis());
        out.add(new AuthorityAction.ReadRecord(now));
    }

    private void recordRead(AuthorityEvent.RecordRead read, long now) {
        voter.read(read.sentAt());
        absent = read.record().isEmpty() && record.isEmpty();
        if (read.record().isEmpty()) {
            repeatSwapIfPossible(read, now);
            return;
        }
        ZoneRecord shown = read.record().get();
        learn(shown, now);
        if (shown.version() < record.orElseThrow().version()) {
            return;
        }
        revision = read.revision();
        if (shown.active(self.host(), self.incarnation())) {
            renewal.read(read.sentAt());
        }
        repeatSwapIfPossible(read, now);
    }

    private void repeatSwapIfPossible(AuthorityEvent.RecordRead read, long now) {
        pending.filter(swap -> swap.mustRepeat(read.sentAt(), read.revision())).ifPresent(swap -> {
            swap.repeated(now);
            out.add(swap.action());
        });
    }

    private void swapped(AuthorityEvent.Swapped swapped, long now) {
        if (pending.filter(swap -> swap.is(swapped.operation())).isEmpty()) {
            return;
        }
        PendingSwap swap = pending.get();
        ZoneRecord written = swap.record();
        learn(written, now);
        if (written.version() == record.orElseThrow().version()) {
            revision = swapped.revision();
        }
        if (written.active(self.host(), self.incarnation())) {
            renewal.read(swap.sentAt());
        }
        teach(written);
    }

    /** Tells the panel about a new version, so that promises to a removed member end and new owners start soon. */
    private void teach(ZoneRecord written) {
        PeerMessage.AdoptRequest request = new PeerMessage.AdoptRequest(written, Optional.empty(), false);
        for (Member member : others(written)) {
            out.add(new AuthorityAction.SendAdopt(member.host(), view.address(member), 0, request));
        }
    }

    private void swapUncertain(String operation, long now) {
        pending.filter(swap -> swap.is(operation)).ifPresent(swap -> {
            swap.outcomeUnknown();
            backOff = true;
            nextRead = now;
            readIfDue(now);
        });
    }

    private void swapUnavailable(String operation) {
        pending.filter(swap -> swap.is(operation)).ifPresent(swap -> {
            backOff = true;
            if (!swap.unavailable()) {
                endSwap();
            }
        });
    }

    private void endSwap() {
        pending = Optional.empty();
        owned.takeBack();
    }

    // ---- the record

    private void learn(ZoneRecord next, long now) {
        long before = record.map(ZoneRecord::version).orElse(0L);
        if (next.version() <= before) {
            return;
        }
        record = Optional.of(next);
        revision = -1;
        absent = false;
        active = next.active(self.host(), self.incarnation());
        planner.learned(next, now);
        next.member(self.host()).ifPresent(member -> retireIfReplacedBy(member.incarnation()));
        updateShards(next, before);
        pending.filter(swap -> swap.decidedBy(next)).ifPresent(swap -> endSwap());
    }

    private void retireIfReplacedBy(Incarnation later) {
        retired |= later.compareTo(self.incarnation()) > 0;
    }

    private void updateShards(ZoneRecord next, long before) {
        Set<Integer> now = ownRun(next) ? next.shardsOf(self.host()) : Set.of();
        Set<Integer> lost = owned.lostWith(now);
        lost.forEach(shard -> out.add(lostShard(shard, next)));
        owned.lose(lost);
        Set<Integer> returned = mayHaveReturned(next);
        for (int shard : now) {
            if (!owned.owned(shard) || returned.contains(shard)) {
                owned.gain(shard, before, next.version());
                out.add(new AuthorityAction.OpenShard(shard, createdHere(next)));
            }
            out.addAll(owned.accepted(shard));
        }
    }

    /**
     * Returns the shards of a transfer that this node cannot tell from one that did not happen: later versions hide
     * whether the shard went to another member, which took claims, and came back.
     */
    private Set<Integer> mayHaveReturned(ZoneRecord next) {
        return pending.filter(swap -> next.version() > swap.record().version())
                .map(swap -> swap.moves().keySet())
                .orElse(Set.of());
    }

    /** A member loses a shard only by its own transfer or by its removal. */
    private AuthorityAction lostShard(int shard, ZoneRecord next) {
        Optional<PendingSwap> transfer =
                pending.filter(swap -> swap.moves().containsKey(shard) && swap.decidedBy(next) && ownRun(next));
        if (transfer.isEmpty()) {
            return new AuthorityAction.CloseShard(shard);
        }
        HostId to = transfer.get().moves().get(shard);
        String address = next.member(to).map(view::address).orElse("");
        return new AuthorityAction.HandOverShard(
                shard, to, address, transfer.get().record().version());
    }

    private boolean createdHere(ZoneRecord next) {
        return next.version() == 1
                && pending.filter(swap -> swap.is(next.operation())).isPresent();
    }

    private boolean ownRun(ZoneRecord any) {
        return any.member(self.host())
                .filter(member -> member.incarnation().equals(self.incarnation()))
                .isPresent();
    }

    private void handOverReceived(AuthorityEvent.HandOverReceived handed, long now) {
        out.addAll(owned.handedOver(handed.shard(), handed.version()));
        if (record.filter(r -> r.version() >= handed.version()).isEmpty()) {
            nextRead = now;
            readIfDue(now);
        }
    }

    // ---- changes

    private void change(long now, RandomGenerator random) {
        if (record.isEmpty()) {
            createIfAbsent(now);
            return;
        }
        if (revision < 0) {
            nextRead = Math.min(nextRead, now + random.nextInt(BACKOFF_MILLIS));
            return;
        }
        boolean voting = voter.voting(now);
        planner.next(record.get(), voting, leaving, operation(), now).ifPresent(step -> advance(step, now));
    }

    private void createIfAbsent(long now) {
        if (absent && !leaving) {
            Member first = new Member(self.host(), self.incarnation(), self.address(), Member.State.ACTIVE, 1);
            swap(0, ZoneRecord.created(first, settings.shards(), operation()), Map.of(), now);
        }
    }

    private String operation() {
        return self.host() + "/" + self.incarnation() + "/" + operations;
    }

    private void advance(Planner.Step step, long now) {
        if (step.votes() == 0 || adopted(step, now)) {
            swap(revision, step.next(), step.moves(), now);
        }
    }

    private void swap(long expected, ZoneRecord next, Map<Integer, HostId> moves, long now) {
        operations++;
        owned.giveUp(moves.keySet());
        PendingSwap swap = new PendingSwap(expected, next, moves, now);
        pending = Optional.of(swap);
        out.add(swap.action());
    }

    private boolean adopted(Planner.Step step, long now) {
        ZoneRecord current = record.orElseThrow();
        Optional<AdoptionRound> running = round.filter(r -> r.isFor(current, step.subject()));
        if (running.filter(AdoptionRound::done).isPresent()) {
            return true;
        }
        if (running.filter(r -> now - r.startedAt() < ROUND_MILLIS).isEmpty()) {
            round = Optional.of(new AdoptionRound(current, step.subject(), step.votes(), ++exchanges, now));
            sendRound(now);
        }
        return round.filter(AdoptionRound::done).isPresent();
    }

    private void sendRound(long now) {
        AdoptionRound running = round.orElseThrow();
        long exchange = exchanges;
        for (Member member : others(record.orElseThrow())) {
            if (running.votes(member.host())) {
                out.add(new AuthorityAction.SendAdopt(
                        member.host(), view.address(member), exchange, running.request()));
            }
        }
        running.answered(self.host(), exchange, voter.adopt(running.request(), votable(), now));
        confirmIfAdopted(now);
    }

    private void confirmIfAdopted(long now) {
        AdoptionRound running = round.orElseThrow();
        if (running.adoptedByEnough() && !running.confirming()) {
            running.confirm(++exchanges);
            sendRound(now);
        }
    }

    private void adoptAnswered(AuthorityEvent.AdoptAnswered answered, long now) {
        if (record.filter(r -> r.version() < answered.answer().version()).isPresent()) {
            nextRead = now;
            readIfDue(now);
        }
        round.ifPresent(running -> {
            running.answered(answered.from(), answered.exchange(), answered.answer());
            confirmIfAdopted(now);
        });
    }

    // ---- promises

    private void askPromisesIfNeeded(long now) {
        boolean useful = record.filter(ZoneRecord::hasPromises).isPresent() && active && !retired;
        if (!useful || !renewal.needsPromises(now)) {
            return;
        }
        ZoneRecord current = record.orElseThrow();
        PeerMessage.PromiseRequest request = new PeerMessage.PromiseRequest(current.version(), self.incarnation());
        renewal.startRound(current, now);
        if (voter.promise(self.host(), request, record, now).granted()) {
            renewal.promised(self.host(), now, current);
        }
        for (Member member : others(current)) {
            out.add(new AuthorityAction.SendPromise(member.host(), view.address(member), now, request));
        }
    }

    private void askRecordIfRecovering(long now, RandomGenerator random) {
        if (voter.recovered() || now < nextAsk) {
            return;
        }
        nextAsk = now + settings.readMillis();
        PeerMessage.PromiseRequest request = new PeerMessage.PromiseRequest(0, self.incarnation());
        Set<HostId> asked = new HashSet<>();
        record.ifPresent(r -> others(r).forEach(member -> {
            asked.add(member.host());
            out.add(new AuthorityAction.SendPromise(member.host(), view.address(member), now, request));
        }));
        List<Map.Entry<HostId, PeerView.Seen>> peers = new ArrayList<>(view.trusted());
        Collections.shuffle(peers, new Random(random.nextLong()));
        peers.stream()
                .filter(peer -> !peer.getKey().equals(self.host()) && !asked.contains(peer.getKey()))
                .limit(record.isPresent() ? 0 : RECOVERY_PEERS)
                .forEach(peer -> out.add(new AuthorityAction.SendPromise(
                        peer.getKey(), peer.getValue().address(), now, request)));
    }

    private void promiseAnswered(AuthorityEvent.PromiseAnswered answered, long now) {
        PeerMessage.PromiseAnswer answer = answered.answer();
        answer.record().ifPresent(newer -> learn(newer, now));
        if (record.isEmpty() || answer.version() == 0) {
            return;
        }
        ZoneRecord current = record.get();
        if (current.version() >= answer.version()) {
            voter.heard(answered.from(), answered.sentAt(), current);
        }
        if (answer.granted() && answer.version() == current.version()) {
            renewal.promised(answered.from(), answered.sentAt(), current);
        }
        if (answer.version() < current.version()) {
            PeerMessage.AdoptRequest request = new PeerMessage.AdoptRequest(current, Optional.empty(), false);
            current.member(answered.from())
                    .ifPresent(member ->
                            out.add(new AuthorityAction.SendAdopt(member.host(), view.address(member), 0, request)));
        }
    }

    private void trusted(AuthorityEvent.Trusted trusted, long now) {
        if (trusted.host().equals(self.host())) {
            retireIfReplacedBy(trusted.incarnation());
            return;
        }
        view.trusted(trusted.host(), trusted.incarnation(), trusted.address(), now);
    }

    private List<Member> others(ZoneRecord any) {
        return any.members().stream()
                .filter(member -> !member.host().equals(self.host()))
                .toList();
    }
}
