package org.trefoilledge.sidecar;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.trefoilledge.core.Clock;

/**
 * Logs each refused or failed request and a sample of the successful ones, up to a maximum rate. Requests are sampled
 * by a hash of their id, so that all nodes log the same requests. Not thread-safe: used on the traffic thread only.
 */
final class DecisionLog {
    private static final Logger LOG = LoggerFactory.getLogger("decision");
    /** Maximum rate. More lines would take CPU time from requests. */
    private static final int MAX_LINES_PER_SECOND = 15;
    /** One in this many successful requests is logged. */
    private static final int SAMPLE_INTERVAL = 128;

    private static final long WINDOW_MILLIS = 1_000;

    private final Clock clock;
    private long windowStartMillis;
    private int linesInWindow;
    private long suppressedLines;

    DecisionLog(Clock clock) {
        this.clock = clock;
    }

    /** Logs the response to a caller. */
    void logAnswer(
            String requestId,
            String route,
            String organisation,
            int status,
            String outcome,
            String reason,
            long configAgeMillis) {
        boolean failed = status >= 400;
        if ((failed || isSampled(requestId)) && tryAcquireLine()) {
            LOG.atInfo()
                    .addKeyValue("id", requestId)
                    .addKeyValue("route", route)
                    .addKeyValue("organisation", organisation)
                    .addKeyValue("status", status)
                    .addKeyValue("outcome", outcome)
                    .addKeyValue("reason", reason)
                    .addKeyValue("configAgeMs", configAgeMillis)
                    .log("answer: a request is answered");
        }
    }

    /** Logs an attempt to execute a request on a host, with its outcome and duration. */
    void logAttempt(String requestId, String host, int attempt, String outcome, long durationMillis) {
        boolean failed = !outcome.equals("answered");
        if ((failed || isSampled(requestId)) && tryAcquireLine()) {
            LOG.atInfo()
                    .addKeyValue("id", requestId)
                    .addKeyValue("host", host)
                    .addKeyValue("attempt", attempt)
                    .addKeyValue("outcome", outcome)
                    .addKeyValue("tookMs", durationMillis)
                    .log("place: a request was sent to a host");
        }
    }

    /** Logs that a caller left before the answer to its request, and the time since the request was read. */
    void logCallerLeft(String requestId, String route, CallerLeft stage, long ageMillis) {
        if (tryAcquireLine()) {
            LOG.atInfo()
                    .addKeyValue("id", requestId)
                    .addKeyValue("route", route)
                    .addKeyValue("stage", stage.label())
                    .addKeyValue("ageMs", ageMillis)
                    .log("left: a caller closed its connection");
        }
    }

    private static boolean isSampled(String requestId) {
        return (requestId.hashCode() & 0x7fffffff) % SAMPLE_INTERVAL == 0;
    }

    private boolean tryAcquireLine() {
        long now = clock.millis();
        if (now - windowStartMillis >= WINDOW_MILLIS) {
            if (suppressedLines > 0) {
                LOG.atInfo().addKeyValue("lines", suppressedLines).log("log: decision lines were left out");
            }
            windowStartMillis = now;
            linesInWindow = 0;
            suppressedLines = 0;
        }
        if (linesInWindow >= MAX_LINES_PER_SECOND) {
            suppressedLines++;
            return false;
        }
        linesInWindow++;
        return true;
    }
}
