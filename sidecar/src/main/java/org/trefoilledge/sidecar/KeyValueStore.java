package org.trefoilledge.sidecar;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

/**
 * Asynchronous client of the platform's key-value store. The futures complete on the control thread, and fail with a
 * {@link org.trefoilledge.configstore.StoreException} if a call times out or the store responds with an error.
 *
 * <p>The store can be restored from a backup: each restore starts a new epoch, in which revisions and lease ids are issued
 * again. An answer of an older epoch than the newest one seen, and an answer to a call that refers to a revision or a lease
 * if a restore was noticed since the call was sent, are reported as
 * {@link org.trefoilledge.configstore.StoreOutcomeUnknownException}.
 */
public interface KeyValueStore extends AutoCloseable {
    /**
     * A key with its value.
     *
     * @param revision store revision at which the value was last written
     */
    @SuppressWarnings("ArrayRecordComponent") // the bytes are shared, not copied, and never changed
    record Item(String key, byte[] value, long revision) {}

    /**
     * All items under a prefix.
     *
     * @param revision store revision at which the listing began
     */
    record Listing(List<Item> items, long revision) {}

    /** A change of one key. The item is empty if the key was removed. */
    record Change(String key, Optional<Item> item) {}

    /**
     * The changes under a prefix after the watched revision.
     *
     * @param revision revision from which to continue watching
     * @param historyLost whether the store no longer has the changes, so that the prefix has to be listed again
     */
    record WatchResult(List<Change> changes, long revision, boolean historyLost) {}

    /** Reads one key. */
    CompletableFuture<Optional<Item>> read(String key);

    /** Lists all items under a prefix. */
    CompletableFuture<Listing> list(String prefix);

    /** Waits up to the given time for changes after a revision. */
    CompletableFuture<WatchResult> watch(String prefix, long afterRevision, long waitMillis);

    /** Starts a lease and returns its id. Keys written under a lease are removed when the lease ends. */
    CompletableFuture<Long> startLease(long lifetimeMillis);

    /** Renews a lease; completes with false if the lease has ended. */
    CompletableFuture<Boolean> renewLease(long lease);

    /** Ends a lease and removes its keys. */
    CompletableFuture<Void> endLease(long lease);

    /**
     * Writes a key under a lease if the key still has the expected revision.
     *
     * @param expectedRevision revision of the current value, 0 if the key must be absent
     * @return the new revision, or empty if the key has another revision or the lease has ended
     */
    CompletableFuture<Optional<Long>> write(String key, byte[] value, long expectedRevision, long lease);

    /**
     * Removes a key if it still has the expected revision.
     *
     * @return whether the key was removed
     */
    CompletableFuture<Boolean> remove(String key, long expectedRevision);

    /** Adds a listener that is called on the control thread when a response shows that the store was restored. */
    void onRestore(Runnable listener);

    /** Returns the newest epoch that a response has shown, empty if the store states none. Used on the control thread. */
    OptionalLong epoch();

    @Override
    void close();
}
