package org.trefoilledge.sidecar;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's store. Every call returns at once; its future completes on the control thread, and fails with a
 * {@link org.trefoilledge.configstore.StoreException} if the store cannot be reached in time or answers with an error.
 */
public interface KeyValueStore extends AutoCloseable {
    /**
     * One item.
     *
     * @param revision the store's revision at which the value was last written
     */
    @SuppressWarnings("ArrayRecordComponent") // the bytes are shared, not copied, and never changed
    record Item(String key, byte[] value, long revision) {}

    /**
     * All items under a prefix.
     *
     * @param revision the store's revision at which the listing began
     */
    record Listing(List<Item> items, long revision) {}

    /** A change of one key: its new item, or none if the key was removed. */
    record Change(String key, Optional<Item> item) {}

    /**
     * What has changed under a prefix.
     *
     * @param revision revision after which the next watch continues
     * @param historyLost the changes are no longer available and the prefix has to be listed again
     */
    record WatchResult(List<Change> changes, long revision, boolean historyLost) {}

    /** Reads one key. */
    CompletableFuture<Optional<Item>> read(String key);

    /** Lists all items under a prefix. */
    CompletableFuture<Listing> list(String prefix);

    /** Waits for changes after a revision, at most for the given time. */
    CompletableFuture<WatchResult> watch(String prefix, long afterRevision, long waitMillis);

    /** Starts a lease and returns its id. Keys that are bound to a lease are removed when it ends. */
    CompletableFuture<Long> startLease(long lifetimeMillis);

    /** Renews a lease; returns false if it has ended. */
    CompletableFuture<Boolean> renewLease(long lease);

    /** Ends a lease and removes its keys. */
    CompletableFuture<Void> endLease(long lease);

    /**
     * Writes a key if it still has the given revision, 0 for a key that is absent.
     *
     * @return the new revision, or empty if the key has another revision or the lease has ended
     */
    CompletableFuture<Optional<Long>> write(String key, byte[] value, long expectedRevision, long lease);

    /**
     * Removes a key if it still has the given revision.
     *
     * @return whether it was removed
     */
    CompletableFuture<Boolean> remove(String key, long expectedRevision);

    @Override
    void close();
}
