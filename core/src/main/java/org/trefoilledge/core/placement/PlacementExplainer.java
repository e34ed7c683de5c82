package org.trefoilledge.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.ZoneId;
import org.trefoilledge.core.placement.PlacementExplanation.PassedOver;

/**
 * Derives from the figures of a service's upstreams which of them {@link Placer} may choose, whatever its random numbers
 * are, and why it passes over the others. Answers the question why a call under load goes where it goes. Pure.
 */
final class PlacementExplainer {
    private final HostId localHost;
    private final ZoneId localZone;
    private final PlacementSettings settings;
    private final double meanMillis;

    /** @param meanMillis mean service time of the service, 0 if it is not known */
    PlacementExplainer(HostId localHost, ZoneId localZone, PlacementSettings settings, double meanMillis) {
        this.localHost = localHost;
        this.localZone = localZone;
        this.settings = settings;
        this.meanMillis = meanMillis;
    }

    /** Explains the choice between all known upstreams of a service. */
    PlacementExplanation explain(List<UpstreamFigures> all) {
        double zoneLoad = all.stream()
                .filter(u -> isNear(u) && u.inSubset() && !u.isEjected() && !u.cold())
                .mapToDouble(UpstreamFigures::load)
                .average()
                .orElse(0);
        boolean spills = zoneLoad > settings.spilloverLoad();
        Set<UpstreamFigures> choice = choose(filter(all, u -> !u.isAvoided()), spills);
        if (choice.isEmpty()) {
            choice = choose(all, spills);
        }
        List<PlacementExplanation.Entry> entries = new ArrayList<>();
        for (UpstreamFigures upstream : all) {
            Optional<PassedOver> reason =
                    choice.contains(upstream) ? Optional.empty() : Optional.of(reason(upstream, choice, spills));
            entries.add(new PlacementExplanation.Entry(upstream, reason));
        }
        entries.sort(Comparator.comparing(
                        (PlacementExplanation.Entry e) -> e.passedOver().isPresent())
                .thenComparing(e -> !isNear(e.figures()))
                .thenComparing(e -> e.figures().host()));
        return new PlacementExplanation(entries);
    }

    private Set<UpstreamFigures> choose(List<UpstreamFigures> usable, boolean spills) {
        List<UpstreamFigures> local = filter(usable, this::isPreferredLocalHost);
        if (!local.isEmpty()) {
            return Set.copyOf(local);
        }
        List<UpstreamFigures> near = winners(filter(usable, u -> u.inSubset() && isNear(u) && !isSetAside(u)));
        List<UpstreamFigures> far = winners(filter(usable, u -> u.inSubset() && !isNear(u) && !isSetAside(u)));
        boolean nearIsCold = near.stream().allMatch(UpstreamFigures::cold);
        if (!near.isEmpty() && nearIsCold && far.stream().anyMatch(u -> !u.cold())) {
            Set<UpstreamFigures> choice = new LinkedHashSet<>(near);
            choice.addAll(far);
            return choice;
        }
        if (!near.isEmpty()) {
            return spills ? chooseBetweenZones(near, far) : Set.copyOf(near);
        }
        if (!far.isEmpty()) {
            return Set.copyOf(far);
        }
        List<UpstreamFigures> ejected = winners(filter(usable, u -> u.inSubset() && isNear(u)));
        return Set.copyOf(ejected.isEmpty() ? winners(filter(usable, UpstreamFigures::inSubset)) : ejected);
    }

    private Set<UpstreamFigures> chooseBetweenZones(List<UpstreamFigures> near, List<UpstreamFigures> far) {
        Set<UpstreamFigures> choice = new LinkedHashSet<>();
        for (UpstreamFigures local : near) {
            if (far.isEmpty() || far.stream().anyMatch(other -> !isClearlyBetter(other, local))) {
                choice.add(local);
            }
        }
        for (UpstreamFigures other : far) {
            if (near.stream().anyMatch(local -> isClearlyBetter(other, local))) {
                choice.add(other);
            }
        }
        return choice;
    }

    private boolean isPreferredLocalHost(UpstreamFigures upstream) {
        return upstream.host().equals(localHost)
                && !upstream.isEjected()
                && !upstream.cold()
                && upstream.load() <= Placer.MAX_LOCAL_HOST_LOAD
                && (!settings.expectedTime() || upstream.relativeTime() <= Placer.MAX_LOCAL_HOST_TIME);
    }

    /** Returns the upstreams that can win the comparison of two random ones of the group. */
    private List<UpstreamFigures> winners(List<UpstreamFigures> group) {
        if (group.size() < 2 || !settings.twoChoices()) {
            return group;
        }
        return filter(
                group,
                u -> u.cold() || isExplored(u) || group.stream().anyMatch(v -> !v.equals(u) && cost(v) >= cost(u)));
    }

    private boolean isExplored(UpstreamFigures upstream) {
        return settings.expectedTime() && upstream.load() < Placer.MAX_EXPLORED_LOAD;
    }

    private static boolean isSetAside(UpstreamFigures upstream) {
        return upstream.isEjected() || upstream.isColdAndFull();
    }

    private double cost(UpstreamFigures upstream) {
        double coldCost = upstream.cold() ? Placer.COLD_LOAD : 0;
        return coldCost + (settings.expectedTime() ? upstream.expectedTime() : upstream.load());
    }

    private boolean isClearlyBetter(UpstreamFigures other, UpstreamFigures local) {
        if (!settings.expectedTime()) {
            return other.load() < local.load() - Placer.MIN_LOAD_GAIN;
        }
        double travel = meanMillis > 0 ? Placer.ZONE_ROUND_TRIP_MILLIS / meanMillis : 0;
        return cost(other) < cost(local) - travel - Placer.MIN_TIME_GAIN;
    }

    private PassedOver reason(UpstreamFigures upstream, Set<UpstreamFigures> choice, boolean spills) {
        if (!upstream.inSubset()) {
            return PassedOver.OUTSIDE_SUBSET;
        }
        if (upstream.isAvoided()) {
            return upstream.silent() ? PassedOver.SILENT : PassedOver.BACKED_OFF;
        }
        if (upstream.isEjected()) {
            return PassedOver.EJECTED;
        }
        if (upstream.isColdAndFull()) {
            return PassedOver.COLD;
        }
        if (choice.size() == 1 && choice.stream().allMatch(this::isPreferredLocalHost)) {
            return PassedOver.LOCAL_HOST_PREFERRED;
        }
        boolean nearChosen = choice.stream().anyMatch(this::isNear);
        if (isNear(upstream)) {
            boolean farOnly = !nearChosen && spills;
            return farOnly ? PassedOver.OTHER_ZONE_BETTER : PassedOver.WORST_OF_GROUP;
        }
        if (nearChosen) {
            return spills ? PassedOver.NOT_CLEARLY_BETTER : PassedOver.OTHER_ZONE;
        }
        return PassedOver.WORST_OF_GROUP;
    }

    private boolean isNear(UpstreamFigures upstream) {
        return upstream.zone().equals(localZone);
    }

    private static List<UpstreamFigures> filter(List<UpstreamFigures> list, Predicate<UpstreamFigures> condition) {
        return list.stream().filter(condition).toList();
    }
}
