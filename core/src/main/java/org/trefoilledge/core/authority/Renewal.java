package org.trefoilledge.core.authority;

import java.util.HashSet;
import java.util.Set;
import org.trefoilledge.core.HostId;

/** Until when a member may act, and the round of promises that may extend it. Extensions count from sending. */
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

    /** The store showed the member as active in response to a request sent at this time. */
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

    /** Counts a promise given on the version of the round. */
    void promised(HostId from, long sentAt, ZoneRecord record) {
        if (sentAt != roundSentAt || record.version() != roundVersion || !activeSeat(from, record)) {
            return;
        }
        promised.add(from);
        if (record.hasPromises() && promised.size() >= record.majority()) {
            validUntil = Math.max(validUntil, roundSentAt + settings.promiseMillis());
        }
    }

    // A member that is being removed may not know later versions, so its seat supports nobody.
    private static boolean activeSeat(HostId host, ZoneRecord record) {
        return record.member(host).filter(Member::active).isPresent();
    }
}
