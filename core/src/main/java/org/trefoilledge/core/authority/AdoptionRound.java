package org.trefoilledge.core.authority;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.Incarnation;

/**
 * Two rounds of votes for a record version. The second starts when enough seats have adopted the version, and counts
 * only voters of the same incarnation: single adoptions do not show that all held at the same time, because a voter
 * that restarts in between forgets its own.
 */
final class AdoptionRound {
    private final ZoneRecord record;
    private final Optional<HostId> subject;
    private final int votes;
    private final long startedAt;
    private final long adoptExchange;
    private final Map<HostId, Incarnation> adoptedBy = new HashMap<>();
    private final Set<HostId> confirmedBy = new HashSet<>();
    private long confirmExchange = -1;

    AdoptionRound(ZoneRecord record, Optional<HostId> subject, int votes, long exchange, long now) {
        this.record = record;
        this.subject = subject;
        this.votes = votes;
        this.adoptExchange = exchange;
        startedAt = now;
    }

    boolean isFor(ZoneRecord current, Optional<HostId> about) {
        return record.version() == current.version() && subject.equals(about);
    }

    long startedAt() {
        return startedAt;
    }

    /** Returns the request of the round that runs. */
    PeerMessage.AdoptRequest request() {
        return new PeerMessage.AdoptRequest(record, subject, confirmExchange >= 0);
    }

    /** Returns whether a host has a vote: its seat is in the panel and is not the one that is removed. */
    boolean votes(HostId host) {
        return record.member(host).isPresent() && !subject.equals(Optional.of(host));
    }

    boolean hasEnoughAdoptions() {
        return adoptedBy.size() >= votes;
    }

    boolean isComplete() {
        return hasEnoughAdoptions() && confirmedBy.size() >= votes;
    }

    /** Starts the second round. Answers to the first no longer count. */
    void startConfirmation(long exchange) {
        confirmExchange = exchange;
    }

    boolean isConfirming() {
        return confirmExchange >= 0;
    }

    void recordAnswer(HostId from, long exchange, PeerMessage.AdoptAnswer answer) {
        if (!votes(from) || !answer.adopted()) {
            return;
        }
        if (exchange == adoptExchange && !isConfirming()) {
            adoptedBy.put(from, answer.incarnation());
        }
        boolean same = answer.incarnation().equals(adoptedBy.get(from));
        if (exchange == confirmExchange && same && !answer.promiseRunning()) {
            confirmedBy.add(from);
        }
    }
}
