package org.trefoilledge.core.authority;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.Incarnation;

/**
 * Votes for a host's seat: grants promises and adopts record versions. A restarted node has lost its promises, so it
 * does not vote for the time H ({@code promiseMillis}); and it must receive the highest record version before it votes,
 * so that it never promises on a version older than one that its earlier run had adopted.
 */
final class Voter {
    private final Incarnation incarnation;
    private final long promiseMillis;
    private final long lateMillis;
    private final long votingFrom;
    private final Map<HostId, Promise> promises = new HashMap<>();
    private final Set<HostId> heard = new HashSet<>();
    private long recoveringSince;
    private boolean recovered;

    private record Promise(Incarnation to, long until) {}

    Voter(Incarnation incarnation, AuthoritySettings settings, long now) {
        this.incarnation = incarnation;
        promiseMillis = settings.promiseMillis();
        lateMillis = settings.lateDispatchMillis();
        votingFrom = now + promiseMillis;
        recoveringSince = now;
    }

    /** Returns whether the votes of this node count. */
    boolean isVoting(long now) {
        return recovered && now >= votingFrom;
    }

    boolean recovered() {
        return recovered;
    }

    long recoveringSince() {
        return recoveringSince;
    }

    /** Restarts the search for the highest version, for example after a pause in which a later run may have started. */
    void restartRecovery(long now) {
        recovered = false;
        recoveringSince = now;
        heard.clear();
    }

    /** Records that the store responded to a read that was sent at the given time. */
    void recordStoreRead(long sentAt) {
        recovered |= sentAt >= recoveringSince;
    }

    /** Counts the response of a voting peer whose record version is not above that of {@code known}. */
    void heard(HostId from, long sentAt, ZoneRecord known) {
        if (sentAt < recoveringSince) {
            return;
        }
        heard.add(from);
        long seats =
                known.members().stream().filter(m -> heard.contains(m.host())).count();
        recovered |= seats >= known.majority();
    }

    PeerMessage.PromiseAnswer promise(
            HostId from, PeerMessage.PromiseRequest request, Optional<ZoneRecord> known, long now) {
        if (known.isEmpty() || !isVoting(now)) {
            return new PeerMessage.PromiseAnswer(false, incarnation, 0, Optional.empty());
        }
        ZoneRecord record = known.get();
        if (request.version() != record.version()) {
            Optional<ZoneRecord> newer = request.version() < record.version() ? known : Optional.empty();
            return new PeerMessage.PromiseAnswer(false, incarnation, record.version(), newer);
        }
        boolean granted = record.active(from, request.incarnation());
        if (granted) {
            promises.put(from, new Promise(request.incarnation(), now + promiseMillis));
        }
        return new PeerMessage.PromiseAnswer(granted, incarnation, record.version(), Optional.empty());
    }

    PeerMessage.AdoptAnswer adopt(PeerMessage.AdoptRequest request, Optional<ZoneRecord> known, long now) {
        long version = known.map(ZoneRecord::version).orElse(0L);
        boolean adopted = isVoting(now) && version >= request.record().version();
        boolean running =
                request.subject().filter(host -> mayHavePromised(host, now)).isPresent();
        return new PeerMessage.AdoptAnswer(adopted, incarnation, running, version);
    }

    /**
     * Returns whether the host may still have authority by a promise of this seat, or a dispatch under it may still
     * arrive. Promises of an earlier run are lost, so this holds for every host until the last of them has expired.
     */
    boolean mayHavePromised(HostId host, long now) {
        Promise promise = promises.get(host);
        long until = promise == null ? votingFrom : Math.max(promise.until(), votingFrom);
        return now < until + lateMillis;
    }
}
