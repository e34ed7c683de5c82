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
    private static final double OWN_HOST_LOAD = 0.5;

    private final HostId ownHost;
    private final ZoneId ownZone;
    private final PlacementSettings settings;
    private volatile Map<HostId, Upstream> upstreams = Map.of();
    private volatile Map<ServiceId, ServiceView> services = Map.of();

    /** Creates a placer without candidates. */
    public Placer(HostId ownHost, ZoneId ownZone, PlacementSettings settings) {
        this.ownHost = ownHost;
        this.ownZone = ownZone;
        this.settings = settings;
    }

    /** Replaces the candidates. Load figures and failures are kept for hosts whose incarnation is unchanged. */
    public synchronized void update(List<Candidate> candidates) {
        Map<HostId, Upstream> next = new HashMap<>();
        Map<ServiceId, List<Upstream>> grouped = new HashMap<>();
        for (Candidate candidate : candidates) {
            Upstream upstream = kept(candidate);
            if (next.put(candidate.host(), upstream) != null) {
                throw new IllegalArgumentException("host is listed twice: " + candidate.host());
            }
            grouped.computeIfAbsent(candidate.service(), s -> new ArrayList<>()).add(upstream);
        }
        Map<ServiceId, ServiceView> views = new HashMap<>();
        grouped.forEach((service, list) -> views.put(service, ServiceView.of(list, ownZone, settings)));
        upstreams = next;
        services = views;
    }

    /** Returns an upstream of the service outside the excluded hosts, or empty when there is none. */
    public Optional<Candidate> place(ServiceId service, Set<HostId> excluded, long now, RandomGenerator random) {
        ServiceView view = services.get(service);
        if (view == null) {
            return Optional.empty();
        }
        Upstream here = upstreams.get(ownHost);
        boolean stays = here != null
                && here.candidate().service().equals(service)
                && !excluded.contains(ownHost)
                && !here.ejected(now)
                && here.load(now) <= OWN_HOST_LOAD;
        Upstream chosen = stays ? here : choose(view, excluded, now, random);
        return chosen == null ? Optional.empty() : Optional.of(chosen.candidate());
    }

    /** Counts a call that is sent to the host. */
    public void started(HostId host, long now) {
        Upstream upstream = upstreams.get(host);
        if (upstream != null) {
            upstream.started();
        }
    }

    /**
     * Counts the end of a call that was sent to the host.
     *
     * @param report load report of the response, if there was one
     * @param reachable whether the host's node responded at all; refusals are responses
     */
    public void finished(HostId host, Optional<LoadReport> report, boolean reachable, long now) {
        Upstream upstream = upstreams.get(host);
        if (upstream == null) {
            return;
        }
        upstream.finished();
        report.ifPresent(load -> upstream.reported(load, now));
        if (reachable) {
            upstream.reached();
        } else if (upstream.failed() && settings.ejection() && mayEject(upstream, now)) {
            upstream.eject(now);
        }
    }

    /** Counts a call that the upstream itself has ended, and whether it failed it. */
    public void answered(HostId host, boolean failed, long now) {
        Upstream upstream = upstreams.get(host);
        if (upstream != null) {
            upstream.answered(failed, now);
        }
    }

    private Upstream kept(Candidate candidate) {
        Upstream known = upstreams.get(candidate.host());
        return known != null && known.candidate().equals(candidate) ? known : new Upstream(candidate, settings);
    }

    /** At most half of the upstreams of a service are ejected: if more fail, the fault is likely on this side. */
    private boolean mayEject(Upstream upstream, long now) {
        ServiceView view = services.get(upstream.candidate().service());
        return view != null && !upstream.ejected(now) && (view.ejected(now) + 1) * 2 <= view.size();
    }

    private Upstream choose(ServiceView view, Set<HostId> excluded, long now, RandomGenerator random) {
        Upstream own = pick(view.own, excluded, false, now, random);
        if (own != null && meanLoad(view.own, now) <= settings.spillLoad()) {
            return own;
        }
        Upstream other = pick(view.other, excluded, false, now, random);
        if (own != null) {
            return other != null && other.load(now) < own.load(now) ? other : own;
        }
        if (other != null) {
            return other;
        }
        Upstream ejected = pick(view.own, excluded, true, now, random);
        return ejected != null ? ejected : pick(view.other, excluded, true, now, random);
    }

    private Upstream pick(
            Upstream[] from, Set<HostId> excluded, boolean withEjected, long now, RandomGenerator random) {
        Upstream first = any(from, null, excluded, withEjected, now, random);
        if (first == null || !settings.twoChoices()) {
            return first;
        }
        Upstream second = any(from, first, excluded, withEjected, now, random);
        return second != null && second.load(now) < first.load(now) ? second : first;
    }

    /** Returns a uniformly chosen usable upstream, or null. */
    private static Upstream any(
            Upstream[] from,
            Upstream except,
            Set<HostId> excluded,
            boolean withEjected,
            long now,
            RandomGenerator random) {
        Upstream chosen = null;
        int usable = 0;
        for (Upstream upstream : from) {
            if (upstream == except || (!withEjected && upstream.ejected(now))) {
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
            if (!upstream.ejected(now)) {
                sum += upstream.load(now);
                usable++;
            }
        }
        return usable == 0 ? 0 : sum / usable;
    }
}
