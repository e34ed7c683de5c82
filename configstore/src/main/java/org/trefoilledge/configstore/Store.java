package org.trefoilledge.configstore;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/** The platform's key-value store. Calls block; implementations are thread-safe. */
public interface Store extends AutoCloseable {
    /**
     * Returns the value of a key, empty if it is absent.
     *
     * @throws StoreException if the store cannot be reached or answers with an error
     */
    Optional<StoredValue> read(String key) throws StoreException;

    /**
     * Returns at most {@code limit} values whose keys are at least {@code firstKey} and below {@code endKey}, in the
     * order of their keys.
     *
     * @throws StoreException if the store cannot be reached or answers with an error
     */
    List<StoredValue> range(String firstKey, String endKey, int limit) throws StoreException;

    /**
     * Writes a value if the key still has the expected revision; 0 means that the key must be absent.
     *
     * @return the value written, or empty if the key had another revision
     * @throws StoreUnavailableException if the write certainly had no effect
     * @throws StoreOutcomeUnknownException if the write may have taken effect: read again before any conclusion
     */
    Optional<StoredValue> swap(String key, long expectedModRevision, String value) throws StoreException;

    /**
     * Calls the listener for each change of a key that starts with the prefix, until the watch is closed. A watch may
     * miss events while the store is unreachable, so callers read again at intervals.
     *
     * @throws StoreException if the watch cannot be started
     */
    Watch watch(String prefix, Consumer<StoredValue> listener) throws StoreException;

    @Override
    void close();
}
