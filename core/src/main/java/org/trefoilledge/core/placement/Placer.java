package org.trefoilledge.core.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.ServiceId;
import org.trefoilledge.core.ZoneId;
import org.trefoilledge.core.overload.LoadReport;

/**
 * Chooses an upstream for each call: the one on the own host while that has room, which saves the way to another node;
 * then in the own zone while that has room, the less loaded of two random ones, and not one that has just failed
 * repeatedly. An upstream that fails part of its calls while its health is good counts as more
 * loaded than it is, by the part that fails. Thread-safe.
 */
public final class Placer {
    /** Estimated load up to which the upstream on the own host is preferred; nothing waits for a slot there. */
    private static final double MAX_LOCAL_HOST_LOAD = 0.5;

    private final HostId localHost;
    private final ZoneId localZone;
    private final PlacementSettings settings;
    private volatile Map<HostId, Upstream> upstreams = Map.of();
    private volatile Map<ServiceId, ServiceUpstreams> services = Map.of();

    /** Creates a placer without candidates. */
    public Placer(HostId ownHost, ZoneId ownZone, PlacementSettings settings) {
        this.localHost = ownHost;
        this.localZone = ownZone;
        this.settings = settings;
    }

    /** Replaces the candidates. Load figures and failures are kept for hosts whose incarnation is unchanged. */
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
        Map<ServiceId, ServiceUpstreams> views = new HashMap<>();
        grouped.forEach((service, list) -> views.put(service, ServiceUpstreams.of(list, localZone, settings)));
        upstreams = next;
        services = views;
    }

    /** Returns an upstream of the service outside the excluded hosts, or empty when there is none. */
    public Optional<Candidate> place(ServiceId service, Set<HostId> excluded, long now, RandomGenerator random) {
        ServiceUpstreams view = services.get(service);
        if (view == null) {
            return Optional.empty();
        }
        Upstream here = upstreams.get(localHost);
        boolean stays = here != null
                && here.candidate().service().equals(service)
                && !excluded.contains(localHost)
                && !here.isEjected(now)
                && here.load(now) <= MAX_LOCAL_HOST_LOAD;
        Upstream chosen = stays ? here : chooseByZone(view, excluded, now, random);
        return chosen == null ? Optional.empty() : Optional.of(chosen.candidate());
    }

    /** Counts a call that is sent to the host. */
    public void recordStart(HostId host, long now) {
        Upstream upstream = upstreams.get(host);
        if (upstream != null) {
            upstream.recordStart();
        }
    }

    /**
     * Counts the end of a call that was sent to the host.
     *
     * @param report load report of the response, if there was one
     * @param reachable whether the host's node responded at all; refusals are responses
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

    /** Counts a call that the upstream itself has ended, and whether it failed it. */
    public void recordOutcome(HostId host, boolean failed, long now) {
        Upstream upstream = upstreams.get(host);
        if (upstream != null) {
            upstream.recordOutcome(failed, now);
        }
    }

    private Upstream reuseOrCreate(Candidate candidate) {
        Upstream known = upstreams.get(candidate.host());
        return known != null && known.candidate().equals(candidate) ? known : new Upstream(candidate, settings);
    }

    /** At most half of the upstreams of a service are ejected: if more fail, the fault is likely on this side. */
    private boolean canEject(Upstream upstream, long now) {
        ServiceUpstreams view = services.get(upstream.candidate().service());
        return view != null && !upstream.isEjected(now) && (view.countEjected(now) + 1) * 2 <= view.size();
    }

    private Upstream chooseByZone(ServiceUpstreams view, Set<HostId> excluded, long now, RandomGenerator random) {
        Upstream own = pickLessLoaded(view.localZone, excluded, false, now, random);
        if (own != null && meanLoad(view.localZone, now) <= settings.spilloverLoad()) {
            return own;
        }
        Upstream other = pickLessLoaded(view.otherZones, excluded, false, now, random);
        if (own != null) {
            return other != null && other.load(now) < own.load(now) ? other : own;
        }
        if (other != null) {
            return other;
        }
        Upstream ejected = pickLessLoaded(view.localZone, excluded, true, now, random);
        return ejected != null ? ejected : pickLessLoaded(view.otherZones, excluded, true, now, random);
    }

    private Upstream pickLessLoaded(
            Upstream[] from, Set<HostId> excluded, boolean withEjected, long now, RandomGenerator random) {
        Upstream first = pickRandom(from, null, excluded, withEjected, now, random);
        if (first == null || !settings.twoChoices()) {
            return first;
        }
        Upstream second = pickRandom(from, first, excluded, withEjected, now, random);
        return second != null && second.load(now) < first.load(now) ? second : first;
    }

    /** Returns a uniformly chosen usable upstream, or null. */
    private static Upstream pickRandom(
            Upstream[] from,
            Upstream except,
            Set<HostId> excluded,
            boolean withEjected,
            long now,
            RandomGenerator random) {
        Upstream chosen = null;
        int usable = 0;
        for (Upstream upstream : from) {
            if (upstream == except || (!withEjected && upstream.isEjected(now))) {
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

    private static double meanLoad(Upstream[] from, long now) {
        double sum = 0;
        int usable = 0;
        for (Upstream upstream : from) {
            if (!upstream.isEjected(now)) {
                sum += upstream.load(now);
                usable++;
            }
        }
        return usable == 0 ? 0 : sum / usable;
    }
}
