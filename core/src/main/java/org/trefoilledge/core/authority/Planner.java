package org.trefoilledge.core.authority;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.trefoilledge.core.HostId;

/** Chooses the next change of the zone record that this node should make. */
final class Planner {
    /** Delay between members that could make the same change; covers a swap and its adoption. */
    private static final long STAGGER_MILLIS = 400;
    /** How long other members wait for a later run of the host to replace its own seat. */
    private static final long SUCCESSOR_WAIT_MILLIS = 3_000;
    /** How long, after the fence time, a live marked member waits for its remover before it clears its own mark. */
    private static final long SELF_CLEAR_DELAY_MILLIS = 5_000;

    private final Member self;
    private final AuthoritySettings settings;
    private final PeerView view;
    private final Map<HostId, Known> known = new HashMap<>();

    /** A member and the time at which this node first received its current state. */
    private record Known(Member member, long at) {}

    /**
     * A change of the record and its preconditions.
     *
     * @param subject the member that loses its authority by the change, if any
     * @param votes number of members that must first adopt and confirm the current version
     * @param moves shards that the writer transfers, with their new owners
     */
    record Step(ZoneRecord next, Optional<HostId> subject, int votes, Map<Integer, HostId> moves) {
        static Step write(ZoneRecord next) {
            return new Step(next, Optional.empty(), 0, Map.of());
        }
    }

    Planner(Member self, AuthoritySettings settings, PeerView view) {
        this.self = self;
        this.settings = settings;
        this.view = view;
    }

    /** Records when members and their states were first received. */
    void update(ZoneRecord record, long now) {
        known.keySet().removeIf(host -> record.member(host).isEmpty());
        for (Member member : record.members()) {
            Known before = known.get(member.host());
            if (before == null || !before.member().equals(member)) {
                known.put(member.host(), new Known(member, now));
            }
        }
    }

    Optional<Step> nextStep(ZoneRecord record, boolean voting, boolean leaving, String operation, long now) {
        if (leaving) {
            return leave(record, operation);
        }
        for (Member member : record.members()) {
            Optional<Step> step = member.active()
                    ? planMark(record, member, operation, now)
                    : planResolution(record, member, operation, now);
            if (step.isPresent()) {
                return step;
            }
        }
        if (record.member(self.host()).isEmpty()) {
            return voting ? join(record, operation) : Optional.empty();
        }
        return activeIn(record) ? rebalance(record, operation) : Optional.empty();
    }

    private Optional<Step> leave(ZoneRecord record, String operation) {
        if (!activeIn(record)) {
            return Optional.empty();
        }
        List<HostId> heirs = shardRecipients(record, self.host());
        if (heirs.isEmpty()) {
            return Optional.empty();
        }
        Map<Integer, HostId> moves = record.spread(record.shardsOf(self.host()), heirs);
        if (!moves.isEmpty()) {
            return Optional.of(new Step(record.withTransfers(moves, operation), Optional.empty(), 0, moves));
        }
        ZoneRecord next = record.withoutMember(self.host(), heirs, operation);
        return Optional.of(new Step(next, Optional.empty(), record.votesToSettle(), Map.of()));
    }

    /** Returns whether this node may stop: it is not an active member, or no other member could take over. */
    boolean canStop(Optional<ZoneRecord> record) {
        return record.filter(
                        r -> activeIn(r) && !shardRecipients(r, self.host()).isEmpty())
                .isEmpty();
    }

    private Optional<Step> planMark(ZoneRecord record, Member subject, String operation, long now) {
        if (isSelf(subject) || view.isAlive(subject) || !mayRemove(record, subject)) {
            return Optional.empty();
        }
        long since = view.deadSince(subject, knownSince(subject, now));
        if (now - since < settings.suspicionMillis() + removalDelay(record, subject)) {
            return Optional.empty();
        }
        if (reachableVotes(record, subject) < record.votesToRemove()) {
            return Optional.empty();
        }
        return Optional.of(Step.write(record.withState(subject.host(), Member.State.REMOVING, operation)));
    }

    // Without enough reachable votes a mark could not lead to a removal, but would stop the member's renewal by the
    // store.
    private long reachableVotes(ZoneRecord record, Member subject) {
        return record.members().stream()
                .map(Member::host)
                .filter(host -> !host.equals(subject.host()))
                .filter(host -> host.equals(self.host()) || view.isReachable(host))
                .count();
    }

    private Optional<Step> planResolution(ZoneRecord record, Member subject, String operation, long now) {
        long marked = now - knownSince(subject, now);
        boolean clear = isSelf(subject)
                ? marked >= settings.fenceMillis() + SELF_CLEAR_DELAY_MILLIS
                : view.isAlive(subject) && mayRemove(record, subject);
        if (clear) {
            return Optional.of(Step.write(record.withState(subject.host(), Member.State.ACTIVE, operation)));
        }
        if (isSelf(subject) || !mayRemove(record, subject)) {
            return Optional.empty();
        }
        if (marked < settings.fenceMillis() + removalDelay(record, subject)) {
            return Optional.empty();
        }
        return remove(record, subject, operation);
    }

    private Optional<Step> remove(ZoneRecord record, Member subject, String operation) {
        Optional<HostId> host = Optional.of(subject.host());
        if (isSuccessor(subject)) {
            ZoneRecord next = record.withReplacement(self.host(), self.incarnation(), self.address(), operation);
            return Optional.of(new Step(next, host, record.votesToRemove(), Map.of()));
        }
        ZoneRecord next = record.withoutMember(subject.host(), shardRecipients(record, subject.host()), operation);
        return Optional.of(new Step(next, host, record.votesToRemove(), Map.of()));
    }

    private static Optional<Step> joinable(ZoneRecord record, ZoneRecord next) {
        return Optional.of(new Step(next, Optional.empty(), record.votesToSettle(), Map.of()));
    }

    private Optional<Step> join(ZoneRecord record, String operation) {
        if (record.members().size() >= ZoneRecord.MAX_MEMBERS) {
            return Optional.empty();
        }
        return joinable(record, record.withMember(self.host(), self.incarnation(), self.address(), operation));
    }

    private Optional<Step> rebalance(ZoneRecord record, String operation) {
        if (!record.members().stream().allMatch(Member::active)) {
            return Optional.empty();
        }
        Map<Integer, HostId> moves = record.rebalancingMoves(self.host(), hosts(record, self.host(), view::isAlive));
        return moves.isEmpty()
                ? Optional.empty()
                : Optional.of(new Step(record.withTransfers(moves, operation), Optional.empty(), 0, moves));
    }

    private List<HostId> shardRecipients(ZoneRecord record, HostId without) {
        List<HostId> alive = hosts(record, without, member -> isSelf(member) || view.isAlive(member));
        return alive.isEmpty() ? hosts(record, without, member -> true) : alive;
    }

    private static List<HostId> hosts(ZoneRecord record, HostId without, Predicate<Member> wanted) {
        return record.members().stream()
                .filter(member -> member.active() && !member.host().equals(without))
                .filter(wanted)
                .map(Member::host)
                .toList();
    }

    private boolean mayRemove(ZoneRecord record, Member subject) {
        return activeIn(record) || isSuccessor(subject);
    }

    /** Returns the delay before this node marks a member; a later run of the host goes first, then members in order. */
    private long removalDelay(ZoneRecord record, Member subject) {
        if (isSuccessor(subject)) {
            return 0;
        }
        long rank = hosts(record, subject.host(), member -> isSelf(member) || view.isAlive(member)).stream()
                .takeWhile(host -> !host.equals(self.host()))
                .count();
        return rank * STAGGER_MILLIS + (view.successor(subject).isPresent() ? SUCCESSOR_WAIT_MILLIS : 0);
    }

    private long knownSince(Member member, long now) {
        Known since = known.get(member.host());
        return since == null ? now : since.at();
    }

    private boolean activeIn(ZoneRecord record) {
        return record.active(self.host(), self.incarnation());
    }

    private boolean isSelf(Member member) {
        return member.host().equals(self.host()) && member.incarnation().equals(self.incarnation());
    }

    private boolean isSuccessor(Member member) {
        return member.host().equals(self.host()) && member.incarnation().compareTo(self.incarnation()) < 0;
    }
}
