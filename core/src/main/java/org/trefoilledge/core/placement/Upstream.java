package org.trefoilledge.core.placement;

import java.util.concurrent.atomic.AtomicInteger;
import org.trefoilledge.core.overload.LoadReport;

/** What this node knows about the load and the reachability of one upstream. Thread-safe. */
final class Upstream {
    private final Candidate candidate;
    private final PlacementSettings settings;
    private final AtomicInteger inFlight = new AtomicInteger();
    private volatile Report report;
    private volatile long ejectedUntilMillis = Long.MIN_VALUE;
    private int failures;
    private int ejections;

    private record Report(LoadReport load, int ownInFlight, long atMillis) {}

    Upstream(Candidate candidate, PlacementSettings settings) {
        this.candidate = candidate;
        this.settings = settings;
    }

    Candidate candidate() {
        return candidate;
    }

    void started() {
        inFlight.incrementAndGet();
    }

    void finished() {
        inFlight.updateAndGet(count -> Math.max(0, count - 1));
    }

    void reported(LoadReport load, long now) {
        report = new Report(load, inFlight.get(), now);
    }

    boolean ejected(long now) {
        return now < ejectedUntilMillis;
    }

    /** Counts a failure and returns whether the upstream is due for ejection. */
    synchronized boolean failed() {
        failures++;
        return failures >= settings.failuresToEject();
    }

    /** Ejects the upstream. One more failure after the ejection ends is enough to eject it again. */
    synchronized void eject(long now) {
        long duration = settings.ejectionMillis() << Math.min(ejections, 16);
        ejections++;
        failures = settings.failuresToEject() - 1;
        ejectedUntilMillis = now + Math.min(duration, settings.longestEjectionMillis());
    }

    synchronized void reached() {
        failures = 0;
        ejections = 0;
        ejectedUntilMillis = Long.MIN_VALUE;
    }

    /**
     * Estimates the load as a share of the limit: own calls in flight plus what others had in flight at the last
     * report, which counts less the older the report is.
     */
    double load(long now) {
        int own = inFlight.get();
        Report last = report;
        if (last == null) {
            return (double) own / candidate.slots();
        }
        double freshness = Math.max(0, 1 - (double) (now - last.atMillis()) / settings.reportMillis());
        double others = Math.max(0, last.load().inFlight() - last.ownInFlight()) * freshness;
        double limit = candidate.slots() + (last.load().limit() - candidate.slots()) * freshness;
        double delay = last.load().queueDelayMillis() * freshness / settings.reportMillis();
        return (own + others) / Math.max(1, limit) + delay;
    }
}
