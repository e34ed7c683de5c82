package org.trefoilledge.core.placement;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.trefoilledge.core.ZoneId;

/** The upstreams of one service that this node uses, split into its own zone and the others. Immutable. */
final class ServiceUpstreams {
    final Upstream[] localZone;
    final Upstream[] otherZones;

    private ServiceUpstreams(Upstream[] own, Upstream[] other) {
        this.localZone = own;
        this.otherZones = other;
    }

    static ServiceUpstreams of(List<Upstream> upstreams, ZoneId ownZone, PlacementSettings settings) {
        List<Upstream> own = new ArrayList<>();
        List<Upstream> other = new ArrayList<>();
        for (Upstream upstream : upstreams) {
            (upstream.candidate().zone().equals(ownZone) ? own : other).add(upstream);
        }
        return new ServiceUpstreams(selectSubset(own, settings), selectSubset(other, settings));
    }

    int countEjected(long now) {
        return countEjected(localZone, now) + countEjected(otherZones, now);
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

    /** Keeps the upstreams with the highest rendezvous scores, so that a change of members moves few of them. */
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
