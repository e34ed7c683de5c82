package org.trefoilledge.core.routing;

/**
 * What a caller may send and how long it may take.
 *
 * @param headerTimeoutMillis time for the header of a request, from its first byte
 * @param idleTimeoutMillis time for which a connection may carry no request
 */
public record CallerLimits(int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
    /** Limits that hold until a configuration is known. */
    public static final CallerLimits DEFAULT = new CallerLimits(16 * 1024, 1 << 20, 3_000, 15_000);

    /** Checks that every figure is positive. */
    public CallerLimits {
        if (maxHeaderBytes < 1 || maxBodyBytes < 0 || headerTimeoutMillis < 1 || idleTimeoutMillis < 1) {
            throw new IllegalArgumentException("limits of callers must be positive");
        }
    }
}
