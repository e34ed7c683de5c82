package org.trefoilledge.operator;

import java.util.List;
import org.trefoilledge.configstore.Store;
import org.trefoilledge.configstore.StoreException;

/**
 * Opens the store at the given endpoints; each call of the store may take {@code timeoutMillis}. An endpoint that
 * cannot be one is an {@link IllegalArgumentException}.
 */
@FunctionalInterface
interface StoreOpener {
    Store open(List<String> endpoints, long timeoutMillis) throws StoreException;
}
