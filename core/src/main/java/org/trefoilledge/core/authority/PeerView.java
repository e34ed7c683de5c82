package org.trefoilledge.core.authority;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.Incarnation;

/** Liveness of the zone's hosts as reported by membership. Decides when a removal starts, never whether it is safe. */
final class PeerView {
    /** How long a member that membership has never reported is not counted as dead. */
    static final long UNSEEN_GRACE_MILLIS = 8_000;

    private final Map<HostId, Seen> trusted = new HashMap<>();
    private final Map<HostId, Seen> suspected = new HashMap<>();

    record Seen(Incarnation incarnation, String address, long since) {}

    void trusted(HostId host, Incarnation incarnation, String address, long now) {
        Seen before = trusted.get(host);
        if (before != null && before.incarnation().compareTo(incarnation) > 0) {
            return;
        }
        boolean same = before != null && before.incarnation().equals(incarnation);
        trusted.put(host, new Seen(incarnation, address, same ? before.since() : now));
        suspected.remove(host);
    }

    void suspected(HostId host, Incarnation incarnation, long now) {
        Seen before = trusted.get(host);
        if (before != null && before.incarnation().compareTo(incarnation) > 0) {
            return;
        }
        trusted.remove(host);
        suspected.putIfAbsent(host, new Seen(incarnation, "", now));
    }

    /** Returns whether some run of the host is alive. */
    boolean isReachable(HostId host) {
        return trusted.containsKey(host);
    }

    /** Returns whether exactly the member's run is alive. */
    boolean isAlive(Member member) {
        Seen seen = trusted.get(member.host());
        return seen != null && seen.incarnation().equals(member.incarnation());
    }

    /** Returns the later run of the member's host, if there is one. */
    Optional<Seen> successor(Member member) {
        return Optional.ofNullable(trusted.get(member.host()))
                .filter(seen -> seen.incarnation().compareTo(member.incarnation()) > 0);
    }

    /** Returns the time since which the member's run has not been known to be alive. */
    long deadSince(Member member, long memberKnownSince) {
        Seen seen = trusted.getOrDefault(member.host(), suspected.get(member.host()));
        return seen == null ? memberKnownSince + UNSEEN_GRACE_MILLIS : seen.since();
    }

    String address(Member member) {
        return Optional.ofNullable(trusted.get(member.host()))
                .map(Seen::address)
                .orElse(member.address());
    }

    List<Map.Entry<HostId, Seen>> trusted() {
        return List.copyOf(trusted.entrySet());
    }
}
