package org.trefoilledge.core.placement;

import java.util.concurrent.atomic.AtomicInteger;
import org.trefoilledge.core.RouteId;
import org.trefoilledge.core.overload.LoadReport;

/** The load, failure rate and reachability of one upstream as observed by this node. Thread-safe. */
final class Upstream {
    /** Weight of one outcome in the moving average of failures. */
    private static final double FAILURE_RATE_SMOOTHING = 0.1;
    /** Half-life of the failure rate while no outcomes are recorded, so that the upstream is tried again. */
    private static final double FAILURE_RATE_HALF_LIFE_MILLIS = 1_500;
    /** Failure rate that does not increase the load, because every upstream fails some calls. */
    private static final double TOLERATED_FAILURE_RATE = 0.1;
    /** Load that is added per unit of the failure rate above the tolerated rate; a load of 1 is a full upstream. */
    private static final double LOAD_PER_FAILURE_RATE = 2;

    /** Weight of one answer in the relative service time; the answers already carry averages. */
    private static final double RELATIVE_TIME_SMOOTHING = 0.4;
    /** Half-life of the relative service time while no answer carries one, so that a recovered upstream is used again. */
    private static final double RELATIVE_TIME_HALF_LIFE_MILLIS = 5_000;

    private final Candidate candidate;
    private final PlacementSettings settings;
    private final ServiceSpeed speed;
    private final AtomicInteger inFlight = new AtomicInteger();
    private volatile ReceivedReport lastReport;
    private volatile long ejectedUntilMillis = Long.MIN_VALUE;
    private volatile FailureRate failureRate = new FailureRate(0, 0);
    private volatile RelativeTime relativeTime = new RelativeTime(0, 0);
    /** Whether the upstream has answered a call. */
    private volatile boolean tried;

    private int consecutiveFailures;
    private int consecutiveEjections;

    private record ReceivedReport(LoadReport load, int ownInFlight, long receivedMillis) {}

    private record FailureRate(double value, long updatedMillis) {
        double decayedValue(long now) {
            if (value == 0) {
                return 0;
            }
            return value * Math.pow(2, -(double) Math.max(0, now - updatedMillis) / FAILURE_RATE_HALF_LIFE_MILLIS);
        }
    }

    /** The logarithm of the service time relative to the mean of all upstreams. */
    private record RelativeTime(double logValue, long updatedMillis) {
        double decayedLogValue(long now) {
            if (logValue == 0) {
                return 0;
            }
            return logValue * Math.pow(2, -(double) Math.max(0, now - updatedMillis) / RELATIVE_TIME_HALF_LIFE_MILLIS);
        }
    }

    Upstream(Candidate candidate, PlacementSettings settings, ServiceSpeed speed) {
        this.speed = speed;
        this.candidate = candidate;
        this.settings = settings;
    }

    Candidate candidate() {
        return candidate;
    }

    /** Returns whether the upstream has answered no call, and has refused none recently. */
    boolean isUntried(long now) {
        ReceivedReport report = lastReport;
        return !tried && (report == null || now - report.receivedMillis() >= settings.maxReportAgeMillis());
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

    /** Records the outcome of a call that the upstream completed. */
    synchronized void recordOutcome(boolean failed, long now) {
        tried = true;
        FailureRate previous = failureRate;
        if (previous.value() == 0 && !failed) {
            return;
        }
        double rate = previous.decayedValue(now);
        failureRate = new FailureRate(rate + ((failed ? 1 : 0) - rate) * FAILURE_RATE_SMOOTHING, now);
    }

    /** Records the service time of a route that an answer carries. */
    synchronized void recordServiceTime(RouteId route, double millis, long now) {
        double latest = Math.log(speed.record(route, candidate.host(), millis));
        double previous = relativeTime.decayedLogValue(now);
        relativeTime = new RelativeTime(previous + (latest - previous) * RELATIVE_TIME_SMOOTHING, now);
    }

    boolean isEjected(long now) {
        return now < ejectedUntilMillis;
    }

    /** Records an unreachable call and returns whether the upstream has reached the failures needed for ejection. */
    synchronized boolean recordUnreachable() {
        consecutiveFailures++;
        return consecutiveFailures >= settings.failuresToEject();
    }

    /** Ejects the upstream. A single failure after the end of the ejection is sufficient to eject it again. */
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
     * Estimates the load as a fraction of the concurrency limit. Adds this node's calls in flight to those of other
     * nodes at the last report, whose weight decreases linearly with the age of the report. Queue delay and failures
     * increase the load.
     */
    double load(long now) {
        int own = inFlight.get();
        ReceivedReport report = lastReport;
        if (report == null) {
            return own / limit(null, 0) + failureLoad(now);
        }
        double freshness = freshness(report, now);
        double others = Math.max(0, report.load().inFlight() - report.ownInFlight()) * freshness;
        double limit = limit(report, freshness);
        double delayLoad = report.load().queueDelayMillis() * freshness / settings.maxReportAgeMillis();
        return (own + others) / Math.max(1, limit) + delayLoad + failureLoad(now);
    }

    /**
     * Returns the estimated limit of concurrent calls. An old report counts less than the slots; the limit of a cold
     * upstream stays low until the upstream is announced as warm.
     *
     * @param report the last report, or null
     */
    private double limit(ReceivedReport report, double freshness) {
        if (candidate.cold()) {
            return report == null ? 1 : report.load().limit();
        }
        return report == null
                ? candidate.slots()
                : candidate.slots() + (report.load().limit() - candidate.slots()) * freshness;
    }

    private double failureLoad(long now) {
        return LOAD_PER_FAILURE_RATE * Math.max(0, failureRate.decayedValue(now) - TOLERATED_FAILURE_RATE);
    }

    /** Returns the service time relative to the mean of the service's upstreams, 1 if it is not known. */
    double relativeTime(long now) {
        return Math.exp(relativeTime.decayedLogValue(now));
    }

    /** Returns the expected time of one more call, in mean service times of the service. */
    double expectedTime(long now) {
        int own = inFlight.get();
        ReceivedReport report = lastReport;
        double relative = relativeTime(now);
        if (report == null) {
            return relative * crowding((own + 1.0) / limit(null, 0)) + failureLoad(now);
        }
        double freshness = freshness(report, now);
        double others = Math.max(0, report.load().inFlight() - report.ownInFlight()) * freshness;
        double limit = limit(report, freshness);
        double mean = speed.meanMillis();
        double delay = mean > 0 ? report.load().queueDelayMillis() * freshness / mean : 0;
        return relative * crowding((own + others + 1) / Math.max(1, limit)) + delay + failureLoad(now);
    }

    /**
     * Returns the expected time of a call at the given load, as a multiple of the service time. Above the limit, the call
     * shares the upstream; below it, the chance grows that the upstream is full when the call arrives.
     */
    private static double crowding(double load) {
        double filled = Math.min(1, load);
        return Math.max(1, load) * (1 + filled * filled * filled * filled);
    }

    /** Returns the figures at the given time, without those that the dispatcher knows of the host. */
    UpstreamFigures figures(long now) {
        ReceivedReport report = lastReport;
        int own = inFlight.get();
        double others = 0;
        double limit = limit(null, 0);
        if (report != null) {
            double freshness = freshness(report, now);
            others = Math.max(0, report.load().inFlight() - report.ownInFlight()) * freshness;
            limit = limit(report, freshness);
        }
        return new UpstreamFigures(
                candidate.host(),
                candidate.zone(),
                own,
                own + others,
                limit,
                load(now),
                relativeTime(now),
                expectedTime(now),
                failureRate.decayedValue(now),
                isEjected(now) ? ejectedUntilMillis - now : 0,
                candidate.cold(),
                true,
                false,
                false);
    }

    private double freshness(ReceivedReport report, long now) {
        return Math.max(0, 1 - (double) (now - report.receivedMillis()) / settings.maxReportAgeMillis());
    }
}
