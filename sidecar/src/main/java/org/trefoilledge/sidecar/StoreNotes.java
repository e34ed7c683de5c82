package org.trefoilledge.sidecar;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Counts the calls to the store, and logs when the store becomes unreachable or reachable. Used on the control thread. */
final class StoreNotes {
    private static final Logger LOG = LoggerFactory.getLogger(StoreNotes.class);

    private final SidecarMetrics metrics;
    private boolean reachable = true;

    StoreNotes(SidecarMetrics metrics) {
        this.metrics = metrics;
    }

    /** Records the outcome of a call; the error is null if the call succeeded. */
    void recordCall(String operation, Throwable error) {
        boolean succeeded = error == null;
        metrics.recordStoreCall(operation, succeeded);
        if (succeeded == reachable) {
            return;
        }
        reachable = succeeded;
        if (succeeded) {
            LOG.info("store: reachable again");
        } else {
            LOG.warn("store: {} failed: {}", operation, error.getMessage());
        }
    }
}
