package org.trefoilledge.sidecar;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.trefoilledge.core.ServiceId;
import org.trefoilledge.core.ZoneId;
import org.trefoilledge.core.placement.Candidate;

/**
 * What remains of the fleet's upstreams while zones are evacuated.
 *
 * @param candidates upstreams outside of the evacuated zones
 * @param emptiedServices services whose upstreams are all in evacuated zones
 */
record EvacuationPlan(List<Candidate> candidates, Set<ServiceId> emptiedServices) {
    static EvacuationPlan of(Collection<Candidate> all, Set<ZoneId> evacuated) {
        if (evacuated.isEmpty()) {
            return new EvacuationPlan(List.copyOf(all), Set.of());
        }
        Set<ServiceId> emptied = new HashSet<>();
        all.forEach(candidate -> emptied.add(candidate.service()));
        List<Candidate> left = all.stream()
                .filter(candidate -> !evacuated.contains(candidate.zone()))
                .toList();
        left.forEach(candidate -> emptied.remove(candidate.service()));
        return new EvacuationPlan(left, Set.copyOf(emptied));
    }
}
