package org.trefoilledge.core.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.RouteId;
import org.trefoilledge.core.ServiceId;
import org.trefoilledge.core.ZoneId;
import org.trefoilledge.core.overload.LoadReport;

/**
 * Chooses an upstream for each call. The upstream on the local host is preferred while it has capacity, which avoids a
 * hop to another node, then the upstreams of the local zone. Within a zone, the less loaded of two random upstreams is
 * chosen, or the one with the shorter expected time for upstreams that differ in speed; an upstream is ejected for a time
 * after consecutive unreachable calls. The estimated load of an upstream that is reachable but fails some of its calls
 * increases with its failure rate. Cold upstreams get a first call from each node and are used after the others.
 * Thread-safe.
 */
public final class Placer {
    /** Estimated load up to which the upstream on the local host is preferred; no call waits for a slot there. */
    static final double MAX_LOCAL_HOST_LOAD = 0.5;
    /** Service time up to which it is preferred, relative to the mean of the service's upstreams. */
    static final double MAX_LOCAL_HOST_TIME = 1.1;
    /**
     * Fraction of the calls for which the first of two random upstreams is chosen without regard to its speed, so that a
     * slow upstream gets a tenth of the calls of the others and is seen to recover.
     */
    private static final double EXPLORED_FRACTION = 0.15;
    /** Estimated load, failures included, up to which an upstream gets such calls. */
    static final double MAX_EXPLORED_LOAD = 0.5;
    /** Time by which a call in another zone must be faster, in mean service times, beside the round trip there. */
    static final double MIN_TIME_GAIN = 0.1;
    /** Additional round-trip time to another zone. */
    static final double ZONE_ROUND_TRIP_MILLIS = 3;
    /** Load by which an upstream of another zone must be below the local one, so that zones do not swap their calls. */
    static final double MIN_LOAD_GAIN = 0.1;
    /** Load that is added to a cold upstream, so that a warm one is preferred unless it is much busier. */
    static final double COLD_LOAD = 0.25;
    /** Load from which a cold upstream is avoided. It reports a load of 1 when its rate allows no call at the moment. */
    static final double MAX_COLD_LOAD = 0.75;

    private final HostId localHost;
    private final ZoneId localZone;
    private final PlacementSettings settings;
    private volatile Map<HostId, Upstream> upstreams = Map.of();
    private volatile Map<ServiceId, ServiceUpstreams> services = Map.of();
    private final Map<ServiceId, ServiceSpeed> speeds = new ConcurrentHashMap<>();

    /** Creates a placer without candidates. */
    public Placer(HostId localHost, ZoneId localZone, PlacementSettings settings) {
        this.localHost = localHost;
        this.localZone = localZone;
        this.settings = settings;
    }

    /** Replaces the candidates. Recorded load and failures are kept for candidates that are unchanged. */
    public synchronized void updateCandidates(List<Candidate> candidates) {
        Map<HostId, Upstream> next = new HashMap<>();
        Map<ServiceId, List<Upstream>> grouped = new HashMap<>();
        for (Candidate candidate : candidates) {
            Upstream upstream = reuseOrCreate(candidate);
            if (next.put(candidate.host(), upstream) != null) {
                throw new IllegalArgumentException("host is listed twice: " + candidate.host());
            }
            grouped.computeIfAbsent(candidate.service(), s -> new ArrayList<>()).add(upstream);
        }
        Map<ServiceId, ServiceUpstreams> nextServices = new HashMap<>();
        grouped.forEach((service, list) -> nextServices.put(service, ServiceUpstreams.of(list, localZone, settings)));
        upstreams = next;
        services = nextServices;
        speeds.keySet().retainAll(nextServices.keySet());
        speeds.values().forEach(speed -> speed.retain(next.keySet()));
    }

    /** Returns an upstream of the service that is not on an excluded host, or empty if there is none. */
    public Optional<Candidate> place(ServiceId service, Set<HostId> excluded, long now, RandomGenerator random) {
        ServiceUpstreams candidates = services.get(service);
        if (candidates == null) {
            return Optional.empty();
        }
        Upstream local = upstreams.get(localHost);
        boolean useLocal = local != null
                && local.candidate().service().equals(service)
                && !excluded.contains(localHost)
                && !local.isEjected(now)
                && !local.candidate().cold()
                && local.load(now) <= MAX_LOCAL_HOST_LOAD
                && (!settings.expectedTime() || local.relativeTime(now) <= MAX_LOCAL_HOST_TIME);
        Upstream chosen = useLocal ? local : chooseByZone(candidates, excluded, now, random);
        return chosen == null ? Optional.empty() : Optional.of(chosen.candidate());
    }

    /**
     * Returns which upstreams of the service the next call may go to, and why the others are passed over. Changes nothing.
     *
     * @param silent whether the node on a host does not answer
     * @param backedOff whether a host is avoided for a short time
     */
    public PlacementExplanation explain(
            ServiceId service, Predicate<HostId> silent, Predicate<HostId> backedOff, long now) {
        ServiceUpstreams candidates = services.get(service);
        ServiceSpeed speed = speeds.get(service);
        List<UpstreamFigures> figures = new ArrayList<>();
        for (Upstream upstream : upstreams.values()) {
            HostId host = upstream.candidate().host();
            if (candidates != null && upstream.candidate().service().equals(service)) {
                figures.add(upstream.figures(now)
                        .withHost(candidates.contains(upstream), silent.test(host), backedOff.test(host)));
            }
        }
        double meanMillis = speed == null ? 0 : speed.meanMillis();
        return new PlacementExplainer(localHost, localZone, settings, meanMillis).explain(figures);
    }

    /** Records the start of a call to the host. */
    public void recordStart(HostId host, long now) {
        Upstream upstream = upstreams.get(host);
        if (upstream != null) {
            upstream.recordStart();
        }
    }

    /**
     * Records the end of a call to the host.
     *
     * @param report load report of the response, if present
     * @param reachable whether the host's node responded; a refusal is a response
     */
    public void recordEnd(HostId host, Optional<LoadReport> report, boolean reachable, long now) {
        Upstream upstream = upstreams.get(host);
        if (upstream == null) {
            return;
        }
        upstream.recordEnd();
        report.ifPresent(load -> upstream.recordReport(load, now));
        if (reachable) {
            upstream.recordReachable();
        } else if (upstream.recordUnreachable() && settings.ejection() && canEject(upstream, now)) {
            upstream.eject(now);
        }
    }

    /** Records whether a call that the upstream completed has failed. */
    public void recordOutcome(HostId host, boolean failed, long now) {
        Upstream upstream = upstreams.get(host);
        if (upstream != null) {
            upstream.recordOutcome(failed, now);
        }
    }

    /** Records the mean service time of a route at the host, which an answer carries. */
    public void recordServiceTime(HostId host, RouteId route, double millis, long now) {
        Upstream upstream = upstreams.get(host);
        if (settings.expectedTime() && upstream != null && millis > 0) {
            upstream.recordServiceTime(route, millis, now);
        }
    }

    private ServiceSpeed speedOf(ServiceId service) {
        return speeds.computeIfAbsent(service, s -> new ServiceSpeed());
    }

    /** Returns the existing upstream if the candidate is unchanged, otherwise a new one. */
    private Upstream reuseOrCreate(Candidate candidate) {
        Upstream existing = upstreams.get(candidate.host());
        return existing != null && existing.candidate().equals(candidate)
                ? existing
                : new Upstream(candidate, settings, speedOf(candidate.service()));
    }

    /** Limits ejections to half of the upstreams of a service: if more fail, the fault is probably on this node. */
    private boolean canEject(Upstream upstream, long now) {
        ServiceUpstreams candidates = services.get(upstream.candidate().service());
        return candidates != null
                && !upstream.isEjected(now)
                && (candidates.countEjected(now) + 1) * 2 <= candidates.size();
    }

    /** Prefers the local zone up to the spillover load; ejected upstreams are used only if there are no others. */
    private Upstream chooseByZone(ServiceUpstreams candidates, Set<HostId> excluded, long now, RandomGenerator random) {
        Upstream local = pickBetter(candidates.localZone, excluded, false, now, random);
        boolean usesCold = local != null && local.candidate().cold() && !isUntriedCold(local, now);
        if (local != null && !usesCold && meanLoad(candidates.localZone, now) <= settings.spilloverLoad()) {
            return local;
        }
        Upstream other = pickBetter(candidates.otherZones, excluded, false, now, random);
        if (usesCold && other != null && !other.candidate().cold()) {
            return other;
        }
        if (local != null) {
            return other != null && isClearlyBetter(other, local, now) ? other : local;
        }
        if (other != null) {
            return other;
        }
        Upstream ejected = pickBetter(candidates.localZone, excluded, true, now, random);
        return ejected != null ? ejected : pickBetter(candidates.otherZones, excluded, true, now, random);
    }

    /** Returns the better of two random upstreams, or any one without two choices; null if there is none. */
    private Upstream pickBetter(
            Upstream[] group, Set<HostId> excluded, boolean includeEjected, long now, RandomGenerator random) {
        Upstream first = pickRandom(group, null, excluded, includeEjected, now, random);
        if (first == null || !settings.twoChoices()) {
            return first;
        }
        Upstream second = pickRandom(group, first, excluded, includeEjected, now, random);
        if (second == null || isUntriedCold(first, now)) {
            return first;
        }
        if (isUntriedCold(second, now)) {
            return second;
        }
        if (!settings.expectedTime()) {
            return comparedLoad(second, now) < comparedLoad(first, now) ? second : first;
        }
        return pickByTime(first, second, now, random);
    }

    /** Returns the one with the shorter expected time. An idle one is sometimes chosen regardless of its speed. */
    private static Upstream pickByTime(Upstream first, Upstream second, long now, RandomGenerator random) {
        if (random.nextDouble() < EXPLORED_FRACTION
                && first.load(now) < MAX_EXPLORED_LOAD
                && !first.candidate().cold()) {
            return first;
        }
        return comparedTime(second, now) < comparedTime(first, now) ? second : first;
    }

    /** Returns whether an upstream of another zone is better by more than what the way there costs. */
    private boolean isClearlyBetter(Upstream other, Upstream local, long now) {
        if (!settings.expectedTime()) {
            return other.load(now) < local.load(now) - MIN_LOAD_GAIN;
        }
        double mean = speedOf(local.candidate().service()).meanMillis();
        double travel = mean > 0 ? ZONE_ROUND_TRIP_MILLIS / mean : 0;
        return comparedTime(other, now) < comparedTime(local, now) - travel - MIN_TIME_GAIN;
    }

    /** Returns whether a cold upstream has not answered this node yet. Each new upstream gets some calls at once. */
    private static boolean isUntriedCold(Upstream upstream, long now) {
        return upstream.candidate().cold() && upstream.isUntried(now);
    }

    private static double comparedLoad(Upstream upstream, long now) {
        return upstream.load(now) + (upstream.candidate().cold() ? COLD_LOAD : 0);
    }

    private static double comparedTime(Upstream upstream, long now) {
        return upstream.expectedTime(now) + (upstream.candidate().cold() ? COLD_LOAD : 0);
    }

    /** Returns whether an upstream is used only if there are no others: it is ejected, or cold and full. */
    private static boolean isAvoided(Upstream upstream, long now) {
        return upstream.isEjected(now) || (upstream.candidate().cold() && upstream.load(now) >= MAX_COLD_LOAD);
    }

    /** Returns a uniformly random usable upstream, or null if there is none. */
    private static Upstream pickRandom(
            Upstream[] group,
            Upstream except,
            Set<HostId> excluded,
            boolean includeEjected,
            long now,
            RandomGenerator random) {
        Upstream chosen = null;
        int usable = 0;
        for (Upstream upstream : group) {
            if (upstream == except || (!includeEjected && isAvoided(upstream, now))) {
                continue;
            }
            if (excluded.contains(upstream.candidate().host())) {
                continue;
            }
            usable++;
            if (random.nextInt(usable) == 0) {
                chosen = upstream;
            }
        }
        return chosen;
    }

    /** Returns the mean load of the upstreams that are neither ejected nor cold, or 0 if there is none. */
    private static double meanLoad(Upstream[] group, long now) {
        double sum = 0;
        int usable = 0;
        for (Upstream upstream : group) {
            if (!upstream.isEjected(now) && !upstream.candidate().cold()) {
                sum += upstream.load(now);
                usable++;
            }
        }
        return usable == 0 ? 0 : sum / usable;
    }
}
