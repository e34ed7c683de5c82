package org.trefoilledge.sidecar;

import java.util.OptionalLong;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Decides whether a node that has just started may apply the configuration that the store returns. A store that was
 * restored from a backup can return an older version than other nodes have, with keys that were withdrawn since. A node
 * therefore takes its first configuration from another node, which sends its newest one, unless none answers in time.
 * Used on the control thread.
 */
final class StartupConfig {
    private static final Logger LOG = LoggerFactory.getLogger(StartupConfig.class);
    /** A node that has started reports to its collector within half a second, and to another one 0.8 s later. */
    private static final long MAX_WAIT_MILLIS = 2_000;

    /** The same if another node has no configuration; a third one, which may have one, answers within this time. */
    private static final long MAX_WAIT_WITH_EMPTY_PEER_MILLIS = 800;

    private final Directory directory;
    private boolean applied;
    /** Whether a node has stated that it has no configuration. */
    private boolean emptyPeer;

    private long waitingSinceMillis = Long.MIN_VALUE;

    /** @param firstStart whether the whole fleet starts for the first time, so that the store has the newest version */
    StartupConfig(boolean firstStart, Directory directory) {
        this.applied = firstStart;
        this.directory = directory;
    }

    /**
     * Records the version that another node has stated. If that node has no configuration either, as after a power loss
     * of the whole fleet, there is less reason to wait.
     */
    void recordPeerVersion(long version) {
        emptyPeer |= version == 0;
    }

    /**
     * Returns whether a configuration from the store may be applied.
     *
     * @param epoch epoch of the store, empty if it states none and is therefore never restored
     * @param versionKnown whether this node has a configuration already
     */
    boolean acceptsFromStore(OptionalLong epoch, boolean versionKnown, long now) {
        if (applied || versionKnown || epoch.isEmpty()) {
            applied = true;
            return true;
        }
        if (waitingSinceMillis == Long.MIN_VALUE) {
            waitingSinceMillis = now;
        }
        boolean alone = directory.complete() && directory.others().isEmpty();
        long maxWaitMillis = emptyPeer ? MAX_WAIT_WITH_EMPTY_PEER_MILLIS : MAX_WAIT_MILLIS;
        if (!alone && now - waitingSinceMillis < maxWaitMillis) {
            return false;
        }
        if (!alone) {
            LOG.warn("config: no other node has sent its version in time; using that of the store");
        }
        applied = true;
        return true;
    }
}
