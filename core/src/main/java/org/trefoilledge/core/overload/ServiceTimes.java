package org.trefoilledge.core.overload;

import java.util.HashMap;
import java.util.Map;
import org.trefoilledge.core.RouteId;

/**
 * The present service time of one upstream by route: the time that calls spent running, divided by the calls that
 * completed, both over a short moving window. Calls that still run count with their age, so a slow-down is seen before
 * the slow calls complete.
 */
final class ServiceTimes {
    private static final double MIN_WINDOW_MILLIS = 1_000;
    /** A change of speed is to be followed within about two seconds, also on a route with few calls. */
    private static final double MAX_WINDOW_MILLIS = 2_500;
    /** Completions that the window covers if it is between its bounds; 16 give a standard error of about 20%. */
    private static final double WINDOW_COMPLETIONS = 16;
    /** Completions before a service time is reported. */
    private static final int MIN_COMPLETIONS = 3;
    /** Completions at low concurrency before their service time is used; 10 give a standard error of about 15%. */
    private static final int MIN_LOW_COMPLETIONS = 10;
    /** Bound of a service time as a multiple of its reference; while no call completes, the quotient has no bound. */
    private static final double MAX_SLOWDOWN = 20;
    /** Weight of one call in the reference, which has to outlast the noise of single calls. */
    private static final double REFERENCE_WEIGHT = 0.03;

    private final Map<RouteId, Route> routes = new HashMap<>();

    /** The figures of one route. */
    static final class Route {
        private int running;
        private double runningMillis;
        private double completions;
        private long updatedMillis;
        private int completed;
        /** Moving average of the logarithm of the duration in milliseconds. */
        private double logReference;
        /** The same for calls that started at low concurrency, and their number. */
        private double logLowReference;

        private int lowCompleted;

        /** Returns the logarithm of the duration relative to the reference, 0 while there is no reference. */
        double logRelative(double durationMillis) {
            return completed < MIN_COMPLETIONS ? 0 : logOf(durationMillis) - logReference;
        }

        /** Returns whether the service time at low concurrency is known. */
        boolean knowsLowConcurrency() {
            return lowCompleted >= MIN_LOW_COMPLETIONS;
        }

        /** Returns the logarithm of the duration relative to the service time at low concurrency. */
        double logSlowdown(double durationMillis) {
            return logOf(durationMillis) - logLowReference;
        }

        /** Moves the window up to the given time. It stands still while no call runs, which says nothing new. */
        private void advance(long now) {
            double elapsed = Math.max(0, (double) (now - updatedMillis));
            updatedMillis = now;
            if (running > 0 && elapsed > 0) {
                double window = windowMillis();
                double decay = Math.exp(-elapsed / window);
                runningMillis = runningMillis * decay + running * window * (1 - decay);
                completions *= decay;
            }
        }

        private double windowMillis() {
            double mean = completions > 0 ? runningMillis / completions : 0;
            return Math.min(MAX_WINDOW_MILLIS, Math.max(MIN_WINDOW_MILLIS, WINDOW_COMPLETIONS * mean / running));
        }

        private double meanMillis() {
            if (completed < MIN_COMPLETIONS || completions <= 0) {
                return 0;
            }
            return Math.min(runningMillis / completions, MAX_SLOWDOWN * Math.exp(logReference));
        }

        private void complete(double durationMillis, boolean lowConcurrency) {
            completions++;
            completed++;
            double weight = Math.max(REFERENCE_WEIGHT, 1.0 / completed);
            logReference += (logOf(durationMillis) - logReference) * weight;
            if (lowConcurrency) {
                lowCompleted++;
                double lowWeight = Math.max(REFERENCE_WEIGHT, 1.0 / lowCompleted);
                logLowReference += (logOf(durationMillis) - logLowReference) * lowWeight;
            }
        }

        private static double logOf(double durationMillis) {
            return Math.log(Math.max(0.5, durationMillis));
        }
    }

    /** Records the start of a call and returns its route. */
    Route start(RouteId id, long now) {
        Route route = routes.computeIfAbsent(id, r -> new Route());
        route.advance(now);
        route.running++;
        return route;
    }

    /** Records the end of a call that the upstream completed. */
    void complete(Route route, double durationMillis, boolean lowConcurrency, long now) {
        route.advance(now);
        route.running--;
        route.complete(durationMillis, lowConcurrency);
    }

    /** Records the end of a call whose sender gave up. The time for which it ran still counts. */
    void abandon(Route route, long now) {
        route.advance(now);
        route.running--;
    }

    /**
     * Records the end of a failed call. A call that failed sooner than others complete does not count at all, so that an
     * upstream that fails at once does not look fast, and one that fails early does not look slow.
     */
    void fail(Route route, double durationMillis, long now) {
        route.advance(now);
        route.running--;
        if (durationMillis >= route.meanMillis()) {
            route.complete(durationMillis, false);
        } else {
            route.runningMillis = Math.max(0, route.runningMillis - durationMillis);
        }
    }

    /** Returns the present service time of a route in milliseconds, 0 if it is not known. */
    double meanMillis(RouteId id, long now) {
        Route route = routes.get(id);
        if (route == null) {
            return 0;
        }
        route.advance(now);
        return route.meanMillis();
    }

    /** Forgets everything; calls that still run no longer count. */
    void clear() {
        routes.clear();
    }
}
