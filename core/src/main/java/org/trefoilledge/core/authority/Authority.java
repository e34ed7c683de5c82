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
 * One node's state machine of the protocol that assigns the shards of its availability zone to owners. Reads of the
 * zone record, or promises of a majority of the panel, grant authority for a limited time; every action for a shard
 * must be preceded by a check with {@link #mayAct}. Uses neither threads nor a clock: the node executes the returned
 * actions and reports their outcomes as events.
 */
public final class Authority {
    private static final long ADOPTION_ROUND_MILLIS = 500;
    private static final long SWAP_TIMEOUT_MILLIS = 5_000;
    private static final int MAX_BACKOFF_MILLIS = 400;
    private static final int MAX_RECOVERY_PEERS = 16;

    private final Member self;
    private final ZoneId zone;
    private final AuthoritySettings settings;
    private final Voter voter;
    private final Renewal renewal;
    private final PeerView membershipView = new PeerView();
    private final Planner planner;
    private final OwnedShards ownedShards = new OwnedShards();

    private Optional<ZoneRecord> record = Optional.empty();
    private long revision = -1; // -1: received from a peer, must be read from the store before a swap
    private Optional<PendingSwap> pendingSwap = Optional.empty();
    private Optional<AdoptionRound> adoptionRound = Optional.empty();
    private List<AuthorityAction> pendingActions = new ArrayList<>();
    private long lastEventAt;
    private long nextReadAt;
    private long nextChangeAt;
    private long nextRecoveryRequestAt;
    private long operationCount;
    private long lastExchange;
    private boolean recordAbsent;
    private boolean active; // whether the latest known record has this run as an active member
    private boolean backoffRequested = true;
    private boolean leaving;
    private boolean retired;

    /**
     * Creates the state machine of a node that has just started.
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
        planner = new Planner(self, settings, membershipView);
        lastEventAt = now;
        nextReadAt = now;
        nextRecoveryRequestAt = now + 2 * settings.readMillis();
    }

    /** Returns the zone. */
    public ZoneId zone() {
        return zone;
    }

    /** Returns whether this node may act for a shard now. At most one node may at any time. */
    public boolean mayAct(int shard, long now) {
        return hasAuthority(now) && ownedShards.usable(shard);
    }

    /** Returns the shards that this node may act for now. */
    public Set<Integer> shards(long now) {
        return hasAuthority(now) ? ownedShards.usable() : Set.of();
    }

    private boolean hasAuthority(long now) {
        return !retired && active && renewal.isValid(now);
    }

    /**
     * Returns an immutable copy of this node's authority for other threads. Publish it after each event or tick and
     * before the actions are carried out, so that this node stops acting for a shard before the record
     * shows its transfer.
     */
    public Grant grant() {
        return retired || !active ? Grant.NONE : new Grant(renewal.validUntil(), ownedShards.usable());
    }

    /** Returns the latest record that this node has received. */
    public Optional<ZoneRecord> record() {
        return record;
    }

    /** Starts to transfer all shards and to leave the panel. Continues with {@link #tick} until {@link #hasLeft}. */
    public List<AuthorityAction> leave(long now) {
        leaving = true;
        nextChangeAt = now;
        return List.of();
    }

    /** Returns whether the node may stop: it is leaving and owns no shard that another member could take over. */
    public boolean hasLeft() {
        return leaving && pendingSwap.isEmpty() && planner.canStop(record);
    }

    /** Sends due requests and starts due changes. Must be called at least every 100 ms. */
    public List<AuthorityAction> tick(long now, RandomGenerator random) {
        detectPause(now);
        readIfDue(now);
        requestPromisesIfNeeded(now);
        requestRecordIfRecovering(now, random);
        if (backoffRequested) {
            backoffRequested = false;
            nextChangeAt = Math.max(nextChangeAt, now + random.nextInt(MAX_BACKOFF_MILLIS));
        }
        pendingSwap.filter(swap -> swap.isOverdue(now, SWAP_TIMEOUT_MILLIS)).ifPresent(PendingSwap::markOutcomeUnknown);
        if (!retired && pendingSwap.isEmpty() && now >= nextChangeAt) {
            proposeChange(now, random);
        }
        return drainActions();
    }

    /** Handles an event and returns the resulting actions. */
    public List<AuthorityAction> handle(AuthorityEvent event, long now) {
        detectPause(now);
        if (event instanceof AuthorityEvent.RecordRead read) {
            handleRecordRead(read, now);
        } else if (event instanceof AuthorityEvent.Swapped swapped) {
            handleSwapped(swapped, now);
        } else if (event instanceof AuthorityEvent.SwapLostRace lost) {
            handleSwapUncertain(lost.operation(), now);
        } else if (event instanceof AuthorityEvent.SwapOutcomeUnknown unknown) {
            handleSwapUncertain(unknown.operation(), now);
        } else if (event instanceof AuthorityEvent.SwapUnavailable unavailable) {
            handleSwapUnavailable(unavailable.operation());
        } else {
            handlePeerEvent(event, now);
        }
        return drainActions();
    }

    private void handlePeerEvent(AuthorityEvent event, long now) {
        if (event instanceof AuthorityEvent.PromiseAsked asked) {
            PeerMessage.PromiseAnswer answer = voter.promise(asked.from(), asked.request(), recordForVoting(), now);
            pendingActions.add(new AuthorityAction.AnswerPromise(asked.requestId(), answer));
        } else if (event instanceof AuthorityEvent.AdoptAsked asked) {
            applyRecord(asked.request().record(), now);
            PeerMessage.AdoptAnswer answer = voter.adopt(asked.request(), recordForVoting(), now);
            pendingActions.add(new AuthorityAction.AnswerAdopt(asked.requestId(), answer));
        } else if (event instanceof AuthorityEvent.PromiseAnswered answered) {
            handlePromiseAnswer(answered, now);
        } else if (event instanceof AuthorityEvent.AdoptAnswered answered) {
            handleAdoptAnswer(answered, now);
        } else if (event instanceof AuthorityEvent.Trusted trusted) {
            handleTrusted(trusted, now);
        } else if (event instanceof AuthorityEvent.Suspected suspected) {
            membershipView.suspected(suspected.host(), suspected.incarnation(), now);
        } else if (event instanceof AuthorityEvent.HandOverReceived handed) {
            handleHandOver(handed, now);
        }
    }

    private List<AuthorityAction> drainActions() {
        List<AuthorityAction> actions = pendingActions;
        pendingActions = new ArrayList<>();
        return actions;
    }

    // A later run of the host may have started during a pause and may now vote for its seat.
    private void detectPause(long now) {
        if (now - lastEventAt > settings.promiseMillis()) {
            voter.restartRecovery(now);
            nextReadAt = now;
            nextRecoveryRequestAt = now + 2 * settings.readMillis();
        }
        lastEventAt = now;
    }

    private Optional<ZoneRecord> recordForVoting() {
        return retired ? Optional.empty() : record;
    }

    // ---- the store

    private void readIfDue(long now) {
        if (now < nextReadAt) {
            return;
        }
        boolean seated = recordAbsent
                || record.filter(r -> r.member(self.host()).isPresent()).isPresent();
        boolean hurried = seated || pendingSwap.isPresent() || !voter.recovered();
        nextReadAt = now + (hurried ? settings.readMillis() : settings.observerReadMillis());
        pendingActions.add(new AuthorityAction.ReadRecord(now));
    }

    private void handleRecordRead(AuthorityEvent.RecordRead read, long now) {
        voter.recordStoreRead(read.sentAt());
        recordAbsent = read.record().isEmpty() && record.isEmpty();
        if (read.record().isEmpty()) {
            repeatSwapIfPossible(read, now);
            return;
        }
        ZoneRecord shown = read.record().get();
        applyRecord(shown, now);
        if (shown.version() < record.orElseThrow().version()) {
            return;
        }
        revision = read.revision();
        if (shown.active(self.host(), self.incarnation())) {
            renewal.extendByRead(read.sentAt());
        }
        repeatSwapIfPossible(read, now);
    }

    private void repeatSwapIfPossible(AuthorityEvent.RecordRead read, long now) {
        pendingSwap
                .filter(swap -> swap.mustRepeat(read.sentAt(), read.revision()))
                .ifPresent(swap -> {
                    swap.markRepeated(now);
                    pendingActions.add(swap.toAction());
                });
    }

    private void handleSwapped(AuthorityEvent.Swapped swapped, long now) {
        if (pendingSwap.filter(swap -> swap.hasOperation(swapped.operation())).isEmpty()) {
            return;
        }
        PendingSwap swap = pendingSwap.get();
        ZoneRecord written = swap.record();
        applyRecord(written, now);
        if (written.version() == record.orElseThrow().version()) {
            revision = swapped.revision();
        }
        if (written.active(self.host(), self.incarnation())) {
            renewal.extendByRead(swap.sentAt());
        }
        announceRecord(written);
    }

    /** Sends a new version to the panel, so that promises to a removed member end and new owners start early. */
    private void announceRecord(ZoneRecord written) {
        PeerMessage.AdoptRequest request = new PeerMessage.AdoptRequest(written, Optional.empty(), false);
        for (Member member : otherMembers(written)) {
            pendingActions.add(
                    new AuthorityAction.SendAdopt(member.host(), membershipView.address(member), 0, request));
        }
    }

    private void handleSwapUncertain(String operation, long now) {
        pendingSwap.filter(swap -> swap.hasOperation(operation)).ifPresent(swap -> {
            swap.markOutcomeUnknown();
            backoffRequested = true;
            nextReadAt = now;
            readIfDue(now);
        });
    }

    private void handleSwapUnavailable(String operation) {
        pendingSwap.filter(swap -> swap.hasOperation(operation)).ifPresent(swap -> {
            backoffRequested = true;
            if (!swap.markUnavailable()) {
                clearPendingSwap();
            }
        });
    }

    private void clearPendingSwap() {
        pendingSwap = Optional.empty();
        ownedShards.resumeAll();
    }

    // ---- the record

    private void applyRecord(ZoneRecord next, long now) {
        long before = record.map(ZoneRecord::version).orElse(0L);
        if (next.version() <= before) {
            return;
        }
        record = Optional.of(next);
        revision = -1;
        recordAbsent = false;
        active = next.active(self.host(), self.incarnation());
        planner.update(next, now);
        next.member(self.host()).ifPresent(member -> retireIfReplacedBy(member.incarnation()));
        updateShards(next, before);
        pendingSwap.filter(swap -> swap.isDecidedBy(next)).ifPresent(swap -> clearPendingSwap());
    }

    private void retireIfReplacedBy(Incarnation later) {
        retired |= later.compareTo(self.incarnation()) > 0;
    }

    private void updateShards(ZoneRecord next, long before) {
        Set<Integer> now = hasOwnRun(next) ? next.shardsOf(self.host()) : Set.of();
        Set<Integer> lost = ownedShards.lostShards(now);
        lost.forEach(shard -> pendingActions.add(actionForLostShard(shard, next)));
        ownedShards.remove(lost);
        Set<Integer> returned = possiblyReturnedShards(next);
        for (int shard : now) {
            if (!ownedShards.isOwned(shard) || returned.contains(shard)) {
                ownedShards.add(shard, before, next.version());
                pendingActions.add(new AuthorityAction.OpenShard(shard, createdByThisNode(next)));
            }
            pendingActions.addAll(ownedShards.acceptHandOver(shard));
        }
    }

    /**
     * Returns the shards of a pending transfer whose outcome is hidden by later versions: a shard may have moved to
     * another member, which accepted claims, and back again.
     */
    private Set<Integer> possiblyReturnedShards(ZoneRecord next) {
        return pendingSwap
                .filter(swap -> next.version() > swap.record().version())
                .map(swap -> swap.moves().keySet())
                .orElse(Set.of());
    }

    /** Returns the action for a lost shard. A member loses a shard only by its own transfer or by its removal. */
    private AuthorityAction actionForLostShard(int shard, ZoneRecord next) {
        Optional<PendingSwap> transfer = pendingSwap.filter(
                swap -> swap.moves().containsKey(shard) && swap.isDecidedBy(next) && hasOwnRun(next));
        if (transfer.isEmpty()) {
            return new AuthorityAction.CloseShard(shard);
        }
        HostId to = transfer.get().moves().get(shard);
        String address = next.member(to).map(membershipView::address).orElse("");
        return new AuthorityAction.HandOverShard(
                shard, to, address, transfer.get().record().version());
    }

    private boolean createdByThisNode(ZoneRecord next) {
        return next.version() == 1
                && pendingSwap
                        .filter(swap -> swap.hasOperation(next.operation()))
                        .isPresent();
    }

    private boolean hasOwnRun(ZoneRecord any) {
        return any.member(self.host())
                .filter(member -> member.incarnation().equals(self.incarnation()))
                .isPresent();
    }

    private void handleHandOver(AuthorityEvent.HandOverReceived handed, long now) {
        pendingActions.addAll(ownedShards.handedOver(handed.shard(), handed.version()));
        if (record.filter(r -> r.version() >= handed.version()).isEmpty()) {
            nextReadAt = now;
            readIfDue(now);
        }
    }

    // ---- changes

    private void proposeChange(long now, RandomGenerator random) {
        if (record.isEmpty()) {
            createIfAbsent(now);
            return;
        }
        if (revision < 0) {
            nextReadAt = Math.min(nextReadAt, now + random.nextInt(MAX_BACKOFF_MILLIS));
            return;
        }
        boolean voting = voter.isVoting(now);
        planner.nextStep(record.get(), voting, leaving, operationId(), now).ifPresent(step -> executeStep(step, now));
    }

    private void createIfAbsent(long now) {
        if (recordAbsent && !leaving) {
            Member first = new Member(self.host(), self.incarnation(), self.address(), Member.State.ACTIVE, 1);
            startSwap(0, ZoneRecord.initial(first, settings.shards(), operationId()), Map.of(), now);
        }
    }

    private String operationId() {
        return self.host() + "/" + self.incarnation() + "/" + operationCount;
    }

    private void executeStep(Planner.Step step, long now) {
        if (step.votes() == 0 || adoptedByPanel(step, now)) {
            startSwap(revision, step.next(), step.moves(), now);
        }
    }

    private void startSwap(long expected, ZoneRecord next, Map<Integer, HostId> moves, long now) {
        operationCount++;
        ownedShards.suspend(moves.keySet());
        PendingSwap swap = new PendingSwap(expected, next, moves, now);
        pendingSwap = Optional.of(swap);
        pendingActions.add(swap.toAction());
    }

    private boolean adoptedByPanel(Planner.Step step, long now) {
        ZoneRecord current = record.orElseThrow();
        Optional<AdoptionRound> running = adoptionRound.filter(r -> r.isFor(current, step.subject()));
        if (running.filter(AdoptionRound::isComplete).isPresent()) {
            return true;
        }
        if (running.filter(r -> now - r.startedAt() < ADOPTION_ROUND_MILLIS).isEmpty()) {
            adoptionRound = Optional.of(new AdoptionRound(current, step.subject(), step.votes(), ++lastExchange, now));
            sendAdoptRequests(now);
        }
        return adoptionRound.filter(AdoptionRound::isComplete).isPresent();
    }

    private void sendAdoptRequests(long now) {
        AdoptionRound running = adoptionRound.orElseThrow();
        long exchange = lastExchange;
        for (Member member : otherMembers(record.orElseThrow())) {
            if (running.votes(member.host())) {
                pendingActions.add(new AuthorityAction.SendAdopt(
                        member.host(), membershipView.address(member), exchange, running.request()));
            }
        }
        running.recordAnswer(self.host(), exchange, voter.adopt(running.request(), recordForVoting(), now));
        confirmIfAdopted(now);
    }

    private void confirmIfAdopted(long now) {
        AdoptionRound running = adoptionRound.orElseThrow();
        if (running.hasEnoughAdoptions() && !running.isConfirming()) {
            running.startConfirmation(++lastExchange);
            sendAdoptRequests(now);
        }
    }

    private void handleAdoptAnswer(AuthorityEvent.AdoptAnswered answered, long now) {
        if (record.filter(r -> r.version() < answered.answer().version()).isPresent()) {
            nextReadAt = now;
            readIfDue(now);
        }
        adoptionRound.ifPresent(running -> {
            running.recordAnswer(answered.from(), answered.exchange(), answered.answer());
            confirmIfAdopted(now);
        });
    }

    // ---- promises

    private void requestPromisesIfNeeded(long now) {
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
        for (Member member : otherMembers(current)) {
            pendingActions.add(
                    new AuthorityAction.SendPromise(member.host(), membershipView.address(member), now, request));
        }
    }

    private void requestRecordIfRecovering(long now, RandomGenerator random) {
        if (voter.recovered() || now < nextRecoveryRequestAt) {
            return;
        }
        nextRecoveryRequestAt = now + settings.readMillis();
        PeerMessage.PromiseRequest request = new PeerMessage.PromiseRequest(0, self.incarnation());
        Set<HostId> asked = new HashSet<>();
        record.ifPresent(r -> otherMembers(r).forEach(member -> {
            asked.add(member.host());
            pendingActions.add(
                    new AuthorityAction.SendPromise(member.host(), membershipView.address(member), now, request));
        }));
        List<Map.Entry<HostId, PeerView.Seen>> peers = new ArrayList<>(membershipView.trusted());
        Collections.shuffle(peers, new Random(random.nextLong()));
        peers.stream()
                .filter(peer -> !peer.getKey().equals(self.host()) && !asked.contains(peer.getKey()))
                .limit(record.isPresent() ? 0 : MAX_RECOVERY_PEERS)
                .forEach(peer -> pendingActions.add(new AuthorityAction.SendPromise(
                        peer.getKey(), peer.getValue().address(), now, request)));
    }

    private void handlePromiseAnswer(AuthorityEvent.PromiseAnswered answered, long now) {
        PeerMessage.PromiseAnswer answer = answered.answer();
        answer.record().ifPresent(newer -> applyRecord(newer, now));
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
                    .ifPresent(member -> pendingActions.add(
                            new AuthorityAction.SendAdopt(member.host(), membershipView.address(member), 0, request)));
        }
    }

    private void handleTrusted(AuthorityEvent.Trusted trusted, long now) {
        if (trusted.host().equals(self.host())) {
            retireIfReplacedBy(trusted.incarnation());
            return;
        }
        membershipView.trusted(trusted.host(), trusted.incarnation(), trusted.address(), now);
    }

    private List<Member> otherMembers(ZoneRecord any) {
        return any.members().stream()
                .filter(member -> !member.host().equals(self.host()))
                .toList();
    }
}
