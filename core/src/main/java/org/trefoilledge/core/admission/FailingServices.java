package org.trefoilledge.core.admission;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.trefoilledge.core.ServiceId;
import org.trefoilledge.core.overload.SlidingRetryThrottle;

/**
 * The services whose upstreams reject calls, and the retries per second that call trees may still use there. Both are
 * derived from the rates in the load reports. Not thread-safe.
 */
final class FailingServices {
    /** Rejection rate below which retries are plentiful and plans ignore them. */
    private static final double MIN_REJECTION_RATE = 0.1;
    /** Bounds the expected arrivals of a call at a service that rejects nearly all of them. */
    private static final double MAX_REJECTION_RATE = 0.98;

    private static final long SECOND_MILLIS = 1_000;
    private static final int WINDOW_SECONDS = 10;
    /**
     * Calls that have to show a low rejection rate before a failure counts as over. The plan refuses most requests during
     * a failure, so few calls are left, and a short time without a rejection proves nothing.
     */
    private static final double MIN_RECOVERY_CALLS = 20;
    /** Time after which a failure counts as over without that many calls. */
    private static final long MAX_RECOVERY_MILLIS = 3_000;
    /**
     * Time over which the remaining allowance is spread. Shorter than a window, because most failures end sooner, and a
     * request that is admitted at once is served in time.
     */
    private static final int HORIZON_SECONDS = 6;
    /** Rates of a report are taken to hold for at most this time. */
    private static final long MAX_INTERVAL_MILLIS = 1_000;

    private final RetryBounds bounds;
    private final Map<ServiceId, History> histories = new HashMap<>();
    private final Map<ServiceId, Double> rejectionRates = new HashMap<>();
    private long lastRecordMillis = Long.MIN_VALUE;
    private long nowMillis;
    private long lastFailureMillis = Long.MIN_VALUE / 2;

    /** Calls to one service by second, in counts. */
    private static final class History {
        private final TreeMap<Long, Double> executed = new TreeMap<>();
        private final TreeMap<Long, Double> retried = new TreeMap<>();
        private final long firstSecond;
        private double executedPerSecond;
        /** Rejection rate when the service last failed, 0 if it has recovered. */
        private double failureRate;
        /** Calls since then. */
        private double recoveryCalls;

        private long failedMillis;

        History(long firstSecond) {
            this.firstSecond = firstSecond;
        }

        void expire(long second) {
            executed.headMap(second - 2L * WINDOW_SECONDS, true).clear();
            retried.headMap(second - WINDOW_SECONDS, true).clear();
        }

        /** Returns the requests of a window that ended the given number of seconds ago. */
        double executedInWindow(long second, int endedSecondsAgo) {
            long end = second - endedSecondsAgo;
            return executed.subMap(end - WINDOW_SECONDS, false, end, true).values().stream()
                    .mapToDouble(Double::doubleValue)
                    .sum();
        }

        double retriedSince(long afterSecond) {
            return retried.tailMap(afterSecond, false).values().stream()
                    .mapToDouble(Double::doubleValue)
                    .sum();
        }

        /** Returns the requests on which the retries of the present window are based. */
        double base(long second) {
            long seconds = second - firstSecond;
            if (seconds >= WINDOW_SECONDS) {
                return Math.max(executedInWindow(second, 0), executedInWindow(second, WINDOW_SECONDS));
            }
            // A new collector does not know the time before its first report; it was most likely as the time since.
            double known = executedInWindow(second, 0);
            return seconds < 1 ? executedPerSecond * WINDOW_SECONDS : known * WINDOW_SECONDS / (double) (seconds + 1);
        }
    }

    FailingServices(RetryBounds bounds) {
        this.bounds = bounds;
    }

    /**
     * Records the rates of the latest reports.
     *
     * @param now current time in milliseconds
     */
    void record(Collection<NodeLoad> nodes, long now) {
        long elapsed = lastRecordMillis == Long.MIN_VALUE ? 0 : Math.min(MAX_INTERVAL_MILLIS, now - lastRecordMillis);
        lastRecordMillis = now;
        nowMillis = now;
        Map<ServiceId, double[]> rates = new HashMap<>();
        Map<ServiceId, Double> retries = new HashMap<>();
        for (NodeLoad node : nodes) {
            double[] sums = rates.computeIfAbsent(node.service(), s -> new double[2]);
            sums[0] += node.offeredPerSecond();
            sums[1] += node.rejectedPerSecond();
            node.retriesPerSecond().forEach((service, perSecond) -> retries.merge(service, perSecond, Double::sum));
        }
        rejectionRates.clear();
        rates.forEach((service, sums) ->
                record(service, sums[0], Math.min(sums[0], sums[1]), retries.getOrDefault(service, 0.0), elapsed));
    }

    private void record(ServiceId service, double offered, double rejected, double retries, long elapsed) {
        long second = Math.floorDiv(nowMillis, SECOND_MILLIS);
        History history = histories.computeIfAbsent(service, s -> new History(second));
        history.expire(second);
        history.executedPerSecond = offered - rejected;
        double seconds = (double) elapsed / SECOND_MILLIS;
        // At least the executed calls are distinct requests.
        history.executed.merge(second, (offered - rejected) * seconds, Double::sum);
        history.retried.merge(second, retries * seconds, Double::sum);
        double rate = offered > 0 ? rejected / offered : 0;
        if (rate >= MIN_REJECTION_RATE) {
            history.failureRate = Math.min(MAX_REJECTION_RATE, rate);
            history.recoveryCalls = 0;
            history.failedMillis = nowMillis;
            lastFailureMillis = nowMillis;
        } else {
            history.recoveryCalls += offered * seconds;
            boolean recovered = history.recoveryCalls >= MIN_RECOVERY_CALLS
                    || nowMillis - history.failedMillis >= MAX_RECOVERY_MILLIS;
            history.failureRate = recovered ? 0 : history.failureRate;
        }
        if (history.failureRate > 0) {
            rejectionRates.put(service, history.failureRate);
        }
    }

    private double allowance(History history, long second) {
        return bounds.slack() + bounds.ratio() * history.base(second);
    }

    /** Returns whether no service rejects a noticeable part of its calls. */
    boolean isEmpty() {
        return rejectionRates.isEmpty();
    }

    /** Returns the rejection rate of each service that rejects a noticeable part of its calls. */
    Map<ServiceId, Double> rejectionRates() {
        return rejectionRates;
    }

    /** Returns the retries that a call to the service needs on average until it is accepted. */
    double retriesPerCall(ServiceId service) {
        double rate = rejectionRates.getOrDefault(service, 0.0);
        return rate / (1 - rate);
    }

    /** Returns whether the nodes still grant retries of root requests to the service. */
    boolean grantsRootRetries(ServiceId service) {
        History history = histories.get(service);
        long second = Math.floorDiv(nowMillis, SECOND_MILLIS);
        return history != null
                && history.retriedSince(second - WINDOW_SECONDS)
                        < SlidingRetryThrottle.ROOT_SHARE * allowance(history, second);
    }

    /**
     * Returns the retries per second that can be sent to the service during the next seconds without exceeding the
     * allowance of any window.
     */
    double retriesPerSecond(ServiceId service) {
        History history = histories.get(service);
        if (history == null) {
            return 0;
        }
        long second = Math.floorDiv(nowMillis, SECOND_MILLIS);
        double allowance = allowance(history, second);
        double rate = Double.MAX_VALUE;
        for (int seconds = 1; seconds <= HORIZON_SECONDS; seconds++) {
            double retried = history.retriedSince(second - WINDOW_SECONDS + seconds);
            rate = Math.min(rate, (allowance - retried) / seconds);
        }
        return Math.max(0, rate);
    }

    /** Returns whether a service has rejected a noticeable part of its calls within the given time. */
    boolean failedWithin(long millis) {
        return nowMillis - lastFailureMillis < millis;
    }
}
