package org.trefoilledge.core.admission;

import java.util.HashMap;
import java.util.Map;
import org.trefoilledge.core.RouteId;

/**
 * Bounds what a node admits of each route by the outcomes of its own call trees. Answers a surge or failing services
 * while the admission plan does not know the costs of a route: after a start, or when a route is new or has moved. Not
 * thread-safe.
 */
public final class TreeOutcomeLimit {
    /** Shortest time between two changes; about the time in which the trees admitted since a change show its effect. */
    private static final long INTERVAL_MILLIS = 250;
    /** Fewer outcomes do not lower the fraction. */
    private static final int MIN_OUTCOMES = 8;

    private static final double DECREASE_FACTOR = 0.5;
    private static final double MIN_FRACTION = 0.1;
    private static final double INCREASE = 0.1;
    /** Time after which the fraction grows although a host with little traffic has seen too few outcomes to decide. */
    private static final long GROWTH_WITHOUT_EVIDENCE_MILLIS = 1_000;
    /** Part of failed trees above which the fraction falls. */
    private static final double HIGH_FAILURE_RATE = 0.5;
    /** Part of failed trees below which the fraction rises. */
    private static final double LOW_FAILURE_RATE = 0.2;

    private final Map<RouteId, RouteLimit> limits = new HashMap<>();

    private static final class RouteLimit {
        private double fraction = 1;
        private double credit;
        private int outcomes;
        private int failures;
        private long changedMillis;

        RouteLimit(long now) {
            changedMillis = now;
        }

        void change(double newFraction, long now) {
            fraction = newFraction;
            outcomes = 0;
            failures = 0;
            changedMillis = now;
        }
    }

    /** Returns whether the next request of the route is admitted. Admissions are spread evenly. */
    public boolean admit(RouteId route) {
        RouteLimit limit = limits.get(route);
        if (limit == null || limit.fraction >= 1) {
            return true;
        }
        limit.credit += limit.fraction;
        if (limit.credit < 1) {
            return false;
        }
        limit.credit--;
        return true;
    }

    /**
     * Records the end of a call tree.
     *
     * @param failed whether it failed or missed its deadline
     * @param now current time in milliseconds
     * @return whether the admitted fraction of the route has begun to be limited, or is no longer limited
     */
    public boolean recordOutcome(RouteId route, boolean failed, long now) {
        RouteLimit limit = limits.computeIfAbsent(route, r -> new RouteLimit(now));
        limit.outcomes++;
        limit.failures += failed ? 1 : 0;
        if (now - limit.changedMillis < INTERVAL_MILLIS) {
            return false;
        }
        double previous = limit.fraction;
        if (limit.failures < LOW_FAILURE_RATE * limit.outcomes) {
            limit.change(Math.min(1, previous + INCREASE), now);
        } else if (limit.outcomes >= MIN_OUTCOMES && limit.failures > HIGH_FAILURE_RATE * limit.outcomes) {
            limit.change(Math.max(MIN_FRACTION, previous * DECREASE_FACTOR), now);
        } else if (limit.outcomes >= MIN_OUTCOMES) {
            limit.change(previous, now);
        } else if (now - limit.changedMillis >= GROWTH_WITHOUT_EVIDENCE_MILLIS) {
            limit.change(Math.min(1, previous + INCREASE), now);
        }
        return previous >= 1 != limit.fraction >= 1;
    }

    /** Returns the fraction of the route that is admitted, from 0.1 to 1. */
    public double admittedFraction(RouteId route) {
        RouteLimit limit = limits.get(route);
        return limit == null ? 1 : limit.fraction;
    }

    /** Forgets the outcomes of a route, because the admission plan decides what is admitted of it. */
    public void forget(RouteId route) {
        limits.remove(route);
    }

    /** Returns the number of routes that are not admitted in full. */
    public int limitedRoutes() {
        return (int)
                limits.values().stream().filter(limit -> limit.fraction < 1).count();
    }
}
