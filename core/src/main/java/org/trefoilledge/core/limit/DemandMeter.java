package org.trefoilledge.core.limit;

/**
 * Measures one organisation's demand at one node. The estimate is the lower of a fast and a slow average, so that a
 * short burst does not cause loans that expire unused. Not thread-safe.
 */
final class DemandMeter {
    private static final double FAST_MILLIS = 150;
    private static final double SLOW_MILLIS = 1_000;

    private double fastPerMilli;
    private double slowPerMilli;

    /** Adds the requests that came within the given time. */
    void record(long requests, long elapsedMillis) {
        if (elapsedMillis <= 0) {
            return;
        }
        double perMilli = (double) requests / elapsedMillis;
        fastPerMilli += (perMilli - fastPerMilli) * (1 - Math.exp(-elapsedMillis / FAST_MILLIS));
        slowPerMilli += (perMilli - slowPerMilli) * (1 - Math.exp(-elapsedMillis / SLOW_MILLIS));
    }

    /** Returns the expected requests per millisecond. */
    double perMilli() {
        return Math.min(fastPerMilli, slowPerMilli);
    }

    /** Returns whether there was practically no request for several seconds. */
    boolean idle() {
        return slowPerMilli < 1e-6;
    }
}
