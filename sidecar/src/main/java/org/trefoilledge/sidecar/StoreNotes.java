package org.trefoilledge.sidecar;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Counts the calls to the store, and logs when the store is lost or regained. Used on the control thread. */
final class StoreNotes {
    private static final Logger LOG = LoggerFactory.getLogger(StoreNotes.class);

    private final SidecarMetrics metrics;
    private boolean reachable = true;

    StoreNotes(SidecarMetrics metrics) {
        this.metrics = metrics;
    }

    /** Notes how a call ended; the error is null if it succeeded. */
    void recordCall(String operation, Throwable error) {
        boolean succeeded = error == null;
        metrics.storeCall(operation, succeeded);
        if (succeeded == reachable) {
            return;
        }
        reachable = succeeded;
        if (succeeded) {
            LOG.info("store: it answers again");
        } else {
            LOG.warn("store: {} failed: {}", operation, error.getMessage());
        }
    }
}
