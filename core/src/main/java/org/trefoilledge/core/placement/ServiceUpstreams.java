package org.trefoilledge.core.placement;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import org.trefoilledge.core.ZoneId;

/** The upstreams of one service that this node uses, grouped into the local zone and other zones. Immutable. */
final class ServiceUpstreams {
    final Upstream[] localZone;
    final Upstream[] otherZones;

    private ServiceUpstreams(Upstream[] localZone, Upstream[] otherZones) {
        this.localZone = localZone;
        this.otherZones = otherZones;
    }

    static ServiceUpstreams of(List<Upstream> upstreams, ZoneId zone, PlacementSettings settings) {
        List<Upstream> local = new ArrayList<>();
        List<Upstream> remote = new ArrayList<>();
        for (Upstream upstream : upstreams) {
            (upstream.candidate().zone().equals(zone) ? local : remote).add(upstream);
        }
        return new ServiceUpstreams(selectSubset(local, settings), selectSubset(remote, settings));
    }

    int countEjected(long now) {
        return countEjected(localZone, now) + countEjected(otherZones, now);
    }

    boolean contains(Upstream upstream) {
        return Arrays.asList(localZone).contains(upstream)
                || Arrays.asList(otherZones).contains(upstream);
    }

    int size() {
        return localZone.length + otherZones.length;
    }

    private static int countEjected(Upstream[] upstreams, long now) {
        int count = 0;
        for (Upstream upstream : upstreams) {
            count += upstream.isEjected(now) ? 1 : 0;
        }
        return count;
    }

    /** Selects the upstreams with the highest rendezvous hashes, so that a membership change replaces few of them. */
    private static Upstream[] selectSubset(List<Upstream> upstreams, PlacementSettings settings) {
        if (upstreams.size() <= settings.subsetSize()) {
            return upstreams.toArray(Upstream[]::new);
        }
        return upstreams.stream()
                .sorted(Comparator.comparingLong((Upstream u) -> rendezvousScore(u, settings.subsetSeed()))
                        .reversed())
                .limit(settings.subsetSize())
                .toArray(Upstream[]::new);
    }

    private static long rendezvousScore(Upstream upstream, long seed) {
        return Hashing.xxh3_64(seed).hashCharsToLong(upstream.candidate().host().value());
    }
}
