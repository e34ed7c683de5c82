package org.trefoilledge.core.overload;

/**
 * The load of one upstream, as measured by its guard.
 *
 * @param inFlight running calls
 * @param limit current limit of concurrent calls
 * @param queueDelayMillis age of the oldest queued call, 0 if none is queued
 * @param admissionLevel rank below which calls are refused, see {@link AdmissionLevel}
 */
public record LoadReport(int inFlight, int limit, long queueDelayMillis, int admissionLevel) {
    /** Checks that no value is negative. */
    public LoadReport {
        if (inFlight < 0 || limit < 0 || queueDelayMillis < 0 || admissionLevel < 0) {
            throw new IllegalArgumentException("values of a load report must not be negative, but were: " + inFlight
                    + ", " + limit + ", " + queueDelayMillis + ", " + admissionLevel);
        }
    }
}
