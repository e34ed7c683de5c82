package org.trefoilledge.core.overload;

/**
 * The load of one upstream as its guard sees it.
 *
 * @param inFlight running calls
 * @param limit calls that may run at once at the moment
 * @param queueDelayMillis age of the oldest queued call, or 0
 * @param admissionLevel rank below which calls are refused, see {@link AdmissionLevel}
 */
public record LoadReport(int inFlight, int limit, long queueDelayMillis, int admissionLevel) {
    /** Checks that no figure is negative. */
    public LoadReport {
        if (inFlight < 0 || limit < 0 || queueDelayMillis < 0 || admissionLevel < 0) {
            throw new IllegalArgumentException("figures of a load report must not be negative, but were: " + inFlight
                    + ", " + limit + ", " + queueDelayMillis + ", " + admissionLevel);
        }
    }
}
