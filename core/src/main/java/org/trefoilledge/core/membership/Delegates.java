package org.trefoilledge.core.membership;

import com.dynatrace.hash4j.hashing.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.ZoneId;

/** The members that read the configuration from the store for their zone. */
public final class Delegates {
    /** Two, so that one failure does not delay a change; duplicate work is harmless. */
    public static final int PER_ZONE = 2;

    private Delegates() {}

    /** Returns the present members of the zone with the highest rendezvous score, at most two, the highest first. */
    public static List<HostId> of(ZoneId zone, Collection<MemberEntry> members) {
        return members.stream()
                .filter(entry -> entry.zone().equals(zone) && entry.state().present())
                .map(MemberEntry::host)
                .sorted(Comparator.comparingLong((HostId host) -> score(zone, host))
                        .reversed()
                        .thenComparing(Comparator.naturalOrder()))
                .limit(PER_ZONE)
                .toList();
    }

    private static long score(ZoneId zone, HostId host) {
        return Hashing.xxh3_64().hashBytesToLong((zone.value() + '/' + host.value()).getBytes(StandardCharsets.UTF_8));
    }
}
