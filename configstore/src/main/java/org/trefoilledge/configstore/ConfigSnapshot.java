package org.trefoilledge.configstore;

import org.trefoilledge.core.config.Inventory;

/**
 * The whole configuration at one revision.
 *
 * @param digest digest of the log entry at the revision, to which the next entry chains
 */
public record ConfigSnapshot(long revision, String digest, Inventory inventory) {}
