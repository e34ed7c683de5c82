package org.trefoilledge.core.placement;

import java.util.concurrent.atomic.AtomicInteger;
import org.trefoilledge.core.overload.LoadReport;

/** What this node knows about the load and the reachability of one upstream. Thread-safe. */
final class Upstream {
    /** Weight of one answer in the running average of failures. */
    private static final double FAILURE_RATE_SMOOTHING = 0.1;
    /** Time after which an average that gets no answers counts half, so that the upstream is tried again. */
    private static final double FAILURE_RATE_HALF_LIFE_MILLIS = 1_500;
    /** Part of failed calls that every upstream has now and then. */
    private static final double TOLERATED_FAILURE_RATE = 0.1;
    /** Load that an upstream counts as having when all its calls fail; twice a full one. */
    private static final double LOAD_PER_FAILURE_RATE = 2;

    private final Candidate candidate;
    private final PlacementSettings settings;
    private final AtomicInteger inFlight = new AtomicInteger();
    private volatile ReceivedReport lastReport;
    private volatile long ejectedUntilMillis = Long.MIN_VALUE;
    private volatile FailureRate failureRate = new FailureRate(0, 0);
    private int consecutiveFailures;
    private int consecutiveEjections;

    private record ReceivedReport(LoadReport load, int ownInFlight, long receivedMillis) {}

    private record FailureRate(double value, long updatedMillis) {
        double decayedValue(long now) {
            return value * Math.pow(2, -(double) Math.max(0, now - updatedMillis) / FAILURE_RATE_HALF_LIFE_MILLIS);
        }
    }

    Upstream(Candidate candidate, PlacementSettings settings) {
        this.candidate = candidate;
        this.settings = settings;
    }

    Candidate candidate() {
        return candidate;
    }

    void recordStart() {
        inFlight.incrementAndGet();
    }

    void recordEnd() {
        inFlight.updateAndGet(count -> Math.max(0, count - 1));
    }

    void recordReport(LoadReport load, long now) {
        lastReport = new ReceivedReport(load, inFlight.get(), now);
    }

    /** Counts a call that the upstream ended. */
    synchronized void recordOutcome(boolean failed, long now) {
        FailureRate known = failureRate;
        if (known.value() == 0 && !failed) {
            return;
        }
        double part = known.decayedValue(now);
        failureRate = new FailureRate(part + ((failed ? 1 : 0) - part) * FAILURE_RATE_SMOOTHING, now);
    }

    boolean isEjected(long now) {
        return now < ejectedUntilMillis;
    }

    /** Counts a failure and returns whether the upstream is due for ejection. */
    synchronized boolean recordUnreachable() {
        consecutiveFailures++;
        return consecutiveFailures >= settings.failuresToEject();
    }

    /** Ejects the upstream. One more failure after the ejection ends is enough to eject it again. */
    synchronized void eject(long now) {
        long duration = settings.initialEjectionMillis() << Math.min(consecutiveEjections, 16);
        consecutiveEjections++;
        consecutiveFailures = settings.failuresToEject() - 1;
        ejectedUntilMillis = now + Math.min(duration, settings.maxEjectionMillis());
    }

    synchronized void recordReachable() {
        consecutiveFailures = 0;
        consecutiveEjections = 0;
        ejectedUntilMillis = Long.MIN_VALUE;
    }

    /**
     * Estimates the load as a share of the limit: own calls in flight plus what others had in flight at the last
     * report, which counts less the older the report is.
     */
    double load(long now) {
        int own = inFlight.get();
        ReceivedReport last = lastReport;
        double failed = LOAD_PER_FAILURE_RATE * Math.max(0, failureRate.decayedValue(now) - TOLERATED_FAILURE_RATE);
        if (last == null) {
            return (double) own / candidate.slots() + failed;
        }
        double freshness = Math.max(0, 1 - (double) (now - last.receivedMillis()) / settings.maxReportAgeMillis());
        double others = Math.max(0, last.load().inFlight() - last.ownInFlight()) * freshness;
        double limit = candidate.slots() + (last.load().limit() - candidate.slots()) * freshness;
        double delay = last.load().queueDelayMillis() * freshness / settings.maxReportAgeMillis();
        return (own + others) / Math.max(1, limit) + delay + failed;
    }
}
