package org.trefoilledge.sidecar;

import java.util.OptionalLong;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Counts the calls to the store and the changes of the configuration. Logs these changes, and when the store becomes
 * unreachable or reachable. Used on the control thread.
 */
final class StoreNotes {
    private static final Logger LOG = LoggerFactory.getLogger(StoreNotes.class);

    private final SidecarMetrics metrics;
    private boolean reachable = true;

    StoreNotes(SidecarMetrics metrics) {
        this.metrics = metrics;
    }

    /** Records that the store was restored from a backup. */
    void recordRestore(OptionalLong epoch) {
        metrics.recordStoreRestore();
        LOG.warn(
                "store: restored from a backup, now at epoch {}; writing the state of this node again",
                epoch.orElse(0));
    }

    /**
     * Records that another version of the configuration is in force.
     *
     * @param previousAgeMillis time since the previous version was last known to be the newest one: the longest time for
     *     which it may have been outdated
     */
    void recordConfigChange(ConfigSource source, long version, long previousVersion, long previousAgeMillis) {
        metrics.recordConfigChange(source.label());
        LOG.info(
                "config: version {} is in force, by {}; version {} was confirmed {} ms before",
                version,
                source.label(),
                previousVersion,
                previousAgeMillis);
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
