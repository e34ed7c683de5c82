package org.trefoilledge.core.admission;

/**
 * The retries to one service that all nodes together may send in any window of 10 s.
 *
 * @param ratio retries per request
 * @param slack retries that are allowed in addition
 */
public record RetryBounds(double ratio, double slack) {}
