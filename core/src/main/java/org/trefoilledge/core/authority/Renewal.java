package org.trefoilledge.core.authority;

import java.util.HashSet;
import java.util.Set;
import org.trefoilledge.core.HostId;

/** Until when a member may act, and the round of promises that may extend it. Extensions count from sending. */
final class Renewal {
    private final AuthoritySettings settings;
    private final Set<HostId> promised = new HashSet<>();
    private long until;
    private long lastRead;
    private long roundSentAt;
    private long roundVersion = -1;

    Renewal(AuthoritySettings settings, long now) {
        this.settings = settings;
        until = now;
        lastRead = now;
        roundSentAt = now;
    }

    long until() {
        return until;
    }

    boolean valid(long now) {
        return now < until;
    }

    /** The store showed the member as active in response to a request sent at this time. */
    void read(long sentAt) {
        lastRead = Math.max(lastRead, sentAt);
        until = Math.max(until, sentAt + settings.leaseMillis());
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
            until = Math.max(until, roundSentAt + settings.promiseMillis());
        }
    }

    // A member that is being removed may not know later versions, so its seat supports nobody.
    private static boolean activeSeat(HostId host, ZoneRecord record) {
        return record.member(host).filter(Member::active).isPresent();
    }
}
