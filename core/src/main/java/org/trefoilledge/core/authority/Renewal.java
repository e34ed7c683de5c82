package org.trefoilledge.core.authority;

import java.util.HashSet;
import java.util.Set;
import org.trefoilledge.core.HostId;

/**
 * Tracks until when a member may act. Reads of the record and rounds of promises extend this time, counted from the
 * sending of the request.
 */
final class Renewal {
    private final AuthoritySettings settings;
    private final Set<HostId> promised = new HashSet<>();
    private long validUntil;
    private long lastRead;
    private long roundSentAt;
    private long roundVersion = -1;

    Renewal(AuthoritySettings settings, long now) {
        this.settings = settings;
        validUntil = now;
        lastRead = now;
        roundSentAt = now;
    }

    long validUntil() {
        return validUntil;
    }

    boolean isValid(long now) {
        return now < validUntil;
    }

    /** Extends the authority after a read, sent at the given time, that showed the member as active. */
    void extendByRead(long sentAt) {
        lastRead = Math.max(lastRead, sentAt);
        validUntil = Math.max(validUntil, sentAt + settings.leaseMillis());
    }

    /** Returns whether the store has not responded for so long that promises are needed now. */
    boolean needsPromises(long now) {
        return now - lastRead > 2 * settings.readMillis() && now - roundSentAt >= settings.readMillis();
    }

    void startRound(ZoneRecord record, long now) {
        roundVersion = record.version();
        roundSentAt = now;
        promised.clear();
    }

    /** Counts a promise for the record version of the current round. */
    void promised(HostId from, long sentAt, ZoneRecord record) {
        if (sentAt != roundSentAt || record.version() != roundVersion || !activeSeat(from, record)) {
            return;
        }
        promised.add(from);
        if (record.hasPromises() && promised.size() >= record.majority()) {
            validUntil = Math.max(validUntil, roundSentAt + settings.promiseMillis());
        }
    }

    // A member that is being removed may lack later versions, so its promise does not count.
    private static boolean activeSeat(HostId host, ZoneRecord record) {
        return record.member(host).filter(Member::active).isPresent();
    }
}
