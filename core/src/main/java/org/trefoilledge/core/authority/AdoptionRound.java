package org.trefoilledge.core.authority;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.Incarnation;

/**
 * Collects votes for a record version in two rounds. The second round starts when enough members have adopted the
 * version, and counts only voters with an unchanged incarnation. Adoptions of the first round alone do not prove that
 * all of them held at the same time, because a voter that restarts in between loses its adoption.
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

    /** Returns the request of the current round. */
    PeerMessage.AdoptRequest request() {
        return new PeerMessage.AdoptRequest(record, subject, confirmExchange >= 0);
    }

    /** Returns whether a host has a vote: it is a panel member other than the one to be removed. */
    boolean votes(HostId host) {
        return record.member(host).isPresent() && !subject.equals(Optional.of(host));
    }

    boolean hasEnoughAdoptions() {
        return adoptedBy.size() >= votes;
    }

    boolean isComplete() {
        return hasEnoughAdoptions() && confirmedBy.size() >= votes;
    }

    /** Starts the second round. Later responses to the first round are ignored. */
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
