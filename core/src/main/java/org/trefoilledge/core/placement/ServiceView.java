package org.trefoilledge.core.placement;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.trefoilledge.core.ZoneId;

/** The upstreams of one service that this node uses, split into its own zone and the others. Immutable. */
final class ServiceView {
    final Upstream[] own;
    final Upstream[] other;

    private ServiceView(Upstream[] own, Upstream[] other) {
        this.own = own;
        this.other = other;
    }

    static ServiceView of(List<Upstream> upstreams, ZoneId ownZone, PlacementSettings settings) {
        List<Upstream> own = new ArrayList<>();
        List<Upstream> other = new ArrayList<>();
        for (Upstream upstream : upstreams) {
            (upstream.candidate().zone().equals(ownZone) ? own : other).add(upstream);
        }
        return new ServiceView(subset(own, settings), subset(other, settings));
    }

    int ejected(long now) {
        return ejected(own, now) + ejected(other, now);
    }

    int size() {
        return own.length + other.length;
    }

    private static int ejected(Upstream[] upstreams, long now) {
        int count = 0;
        for (Upstream upstream : upstreams) {
            count += upstream.ejected(now) ? 1 : 0;
        }
        return count;
    }

    /** Keeps the upstreams with the highest rendezvous scores, so that a change of members moves few of them. */
    private static Upstream[] subset(List<Upstream> upstreams, PlacementSettings settings) {
        if (upstreams.size() <= settings.subsetSize()) {
            return upstreams.toArray(Upstream[]::new);
        }
        return upstreams.stream()
                .sorted(Comparator.comparingLong((Upstream u) -> score(u, settings.subsetSeed()))
                        .reversed())
                .limit(settings.subsetSize())
                .toArray(Upstream[]::new);
    }

    private static long score(Upstream upstream, long seed) {
        return Hashing.xxh3_64(seed).hashCharsToLong(upstream.candidate().host().value());
    }
}
