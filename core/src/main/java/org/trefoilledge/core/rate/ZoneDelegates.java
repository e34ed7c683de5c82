package org.trefoilledge.core.rate;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.ZoneId;

/** Selects the delegates of a zone by rendezvous hashing, so that a change of the membership replaces few of them. */
public final class ZoneDelegates {
    private ZoneDelegates() {}

    /** Returns up to {@code count} delegates of a zone, ordered by preference. */
    public static List<HostId> of(ZoneId zone, Map<HostId, ZoneId> nodes, int count) {
        return nodes.entrySet().stream()
                .filter(node -> node.getValue().equals(zone))
                .map(Map.Entry::getKey)
                .sorted(Comparator.comparingLong(ZoneDelegates::score)
                        .reversed()
                        .thenComparing(Comparator.naturalOrder()))
                .limit(count)
                .toList();
    }

    private static long score(HostId host) {
        return Hashing.xxh3_64().hashCharsToLong(host.value());
    }
}
