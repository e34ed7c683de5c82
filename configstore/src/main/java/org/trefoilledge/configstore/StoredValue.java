package org.trefoilledge.configstore;

/**
 * A value of the store.
 *
 * @param modRevision the store's revision at which the value was last written
 */
public record StoredValue(String key, String value, long modRevision) {}
