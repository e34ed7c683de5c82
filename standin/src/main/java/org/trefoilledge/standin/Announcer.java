package org.trefoilledge.standin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.client.StringRequestContent;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Announces the upstream to the node on its host, once per second and when its state changes. */
final class Announcer {
    private static final Logger log = LoggerFactory.getLogger(Announcer.class);
    private static final long ANNOUNCEMENT_INTERVAL_MILLIS = 1_000;

    /** Shorter than the announcement interval, so that announcements do not accumulate. */
    private static final long TIMEOUT_MILLIS = 900;

    private final HttpClient http;
    private final String node;
    private final Supplier<ObjectNode> announcement;
    private volatile String lastOutcome = "";

    Announcer(HttpClient http, String node, Supplier<ObjectNode> announcement) {
        this.http = http;
        this.node = node;
        this.announcement = announcement;
    }

    void start(ScheduledThreadPoolExecutor timer) {
        if (!node.isEmpty()) {
            var unused = timer.scheduleAtFixedRate(
                    Timers.logExceptions(this::announce), 0, ANNOUNCEMENT_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    void announce() {
        if (node.isEmpty()) {
            return;
        }
        http.newRequest("http://" + node + "/.trefoilledge/upstream")
                .method("PUT")
                .timeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .body(new StringRequestContent(
                        "application/json", announcement.get().toString()))
                .send(this::logChangedResult);
    }

    /** Logs a result only if it differs from the last one, because a node may be down for a long time. */
    private void logChangedResult(Result result) {
        String outcome = result.isSucceeded()
                ? "status " + result.getResponse().getStatus()
                : String.valueOf(result.getFailure().getMessage());
        if (!outcome.equals(lastOutcome)) {
            lastOutcome = outcome;
            log.info("upstream: announcement to the node at {}: {}", node, outcome);
        }
    }
}
