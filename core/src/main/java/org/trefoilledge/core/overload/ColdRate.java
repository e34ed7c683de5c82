package org.trefoilledge.core.overload;

/**
 * Rate at which a cold upstream gets requests: a token bucket whose requests stay below a bound in any second, also if
 * they arrive up to {@link #JITTER_MILLIS} earlier or later than others that were sent at the same time.
 *
 * @param perSecond tokens per second; 0 if the bound is too low for any request
 * @param burst capacity of the bucket in tokens
 * @param coldMillis time for which an upstream is cold after its start, if its announcements do not state it
 */
public record ColdRate(double perSecond, double burst, long coldMillis) {
    /** Difference between the times that two requests take from the limiter to the upstream. */
    public static final long JITTER_MILLIS = 100;

    /** Longest time that a full second of arrivals can take at the sender. */
    private static final double WINDOW_SECONDS = (1_000 + JITTER_MILLIS) / 1_000.0;
    /** Part of the bound that is used. The rest is for requests that were sent just before the upstream was cold. */
    private static final double USED_PART = 0.9;
    /**
     * Burst in seconds of the rate. Short, because the operators' bound allows bursts at which an upstream that handles
     * only {@code perSecond} has already crashed.
     */
    private static final double BURST_SECONDS = 0.5;

    /** Checks that the rate and the burst are not negative. */
    public ColdRate {
        if (!(perSecond >= 0) || !(burst >= 0) || coldMillis < 0) {
            throw new IllegalArgumentException(
                    "a cold rate must not be negative, but was: " + perSecond + ", " + burst + ", " + coldMillis);
        }
    }

    /**
     * Returns the rate that an upstream handles while it is cold, reduced if it would exceed the bound.
     *
     * @param perSecond requests per second that the upstream handles while it is cold
     * @param bound requests that it may get in any second
     */
    public static ColdRate within(double perSecond, double bound, long coldMillis) {
        double usable = bound * USED_PART;
        if (usable < 1) {
            return new ColdRate(0, 0, coldMillis);
        }
        double rate = Math.min(perSecond, (usable - 1) / WINDOW_SECONDS);
        double burst = Math.min(Math.max(1, rate * BURST_SECONDS), usable - rate * WINDOW_SECONDS);
        return new ColdRate(rate, Math.max(1, burst), coldMillis);
    }
}
