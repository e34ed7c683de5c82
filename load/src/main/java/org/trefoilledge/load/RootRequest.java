package org.trefoilledge.load;

import org.trefoilledge.core.Importance;

/**
 * A finished root request with the result of its last attempt. Times are microseconds since the start of the run.
 *
 * @param intendedMicros scheduled send time, from which latency is measured
 */
record RootRequest(
        long id,
        String organisation,
        String routeId,
        Importance importance,
        long intendedMicros,
        long endMicros,
        int attempts,
        AttemptResult result) {

    boolean whole() {
        return result.whole();
    }

    long latencyMicros() {
        return endMicros - intendedMicros;
    }

    double intendedSeconds() {
        return intendedMicros / 1e6;
    }

    double endSeconds() {
        return endMicros / 1e6;
    }
}
