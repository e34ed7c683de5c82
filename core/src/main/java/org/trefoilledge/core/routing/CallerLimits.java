package org.trefoilledge.core.routing;

/**
 * Limits on the size and duration of callers' requests.
 *
 * @param maxHeaderBytes maximum size of the header of a request
 * @param maxBodyBytes maximum size of the body of a request
 * @param headerTimeoutMillis maximum time to receive the header of a request, from its first byte
 * @param idleTimeoutMillis maximum time for which a connection may be idle
 */
public record CallerLimits(int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
    /** Limits used until a configuration is available. */
    public static final CallerLimits DEFAULT = new CallerLimits(16 * 1024, 1 << 20, 3_000, 15_000);

    /** Checks that the limits are positive; the body limit may be 0. */
    public CallerLimits {
        if (maxHeaderBytes < 1 || maxBodyBytes < 0 || headerTimeoutMillis < 1 || idleTimeoutMillis < 1) {
            throw new IllegalArgumentException("caller limits must be positive");
        }
    }
}
