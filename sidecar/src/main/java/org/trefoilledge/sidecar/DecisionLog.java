package org.trefoilledge.sidecar;

import static net.logstash.logback.argument.StructuredArguments.kv;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.trefoilledge.core.Clock;

/**
 * Writes one line for each refused or failed request and for a sample of the others, up to a rate. The sample is taken
 * by the request's id, so every node on its way keeps the same requests. Used on the traffic thread.
 */
final class DecisionLog {
    private static final Logger LOG = LoggerFactory.getLogger("decision");
    /** Lines a second; more would take processor time from requests. */
    private static final int MAX_LINES_PER_SECOND = 15;
    /** One in so many successful requests is logged. */
    private static final int SAMPLE_INTERVAL = 128;

    private static final long WINDOW_MILLIS = 1_000;

    private final Clock clock;
    private long windowStartMillis;
    private int linesInWindow;
    private long suppressedLines;

    DecisionLog(Clock clock) {
        this.clock = clock;
    }

    /** Logs what a caller was answered. */
    void logAnswer(
            String requestId,
            String route,
            String organisation,
            int status,
            String outcome,
            String reason,
            long ageMs) {
        boolean failed = status >= 400;
        if ((failed || isSampled(requestId)) && tryAcquireLine()) {
            LOG.info(
                    "answer: a request is answered",
                    kv("id", requestId),
                    kv("route", route),
                    kv("organisation", organisation),
                    kv("status", status),
                    kv("outcome", outcome),
                    kv("reason", reason),
                    kv("configAgeMs", ageMs));
        }
    }

    /** Logs where a request was sent and how that ended. */
    void logAttempt(String requestId, String host, int attempt, String outcome, long tookMs) {
        boolean failed = !outcome.equals("answered");
        if ((failed || isSampled(requestId)) && tryAcquireLine()) {
            LOG.info(
                    "place: a request was sent to a host",
                    kv("id", requestId),
                    kv("host", host),
                    kv("attempt", attempt),
                    kv("outcome", outcome),
                    kv("tookMs", tookMs));
        }
    }

    private static boolean isSampled(String requestId) {
        return (requestId.hashCode() & 0x7fffffff) % SAMPLE_INTERVAL == 0;
    }

    private boolean tryAcquireLine() {
        long now = clock.millis();
        if (now - windowStartMillis >= WINDOW_MILLIS) {
            if (suppressedLines > 0) {
                LOG.info("log: decision lines were left out", kv("lines", suppressedLines));
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
