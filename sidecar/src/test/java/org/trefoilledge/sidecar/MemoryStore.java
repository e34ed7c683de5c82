package org.trefoilledge.sidecar;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.trefoilledge.configstore.StoreOutcomeUnknownException;
import org.trefoilledge.configstore.StoreUnavailableException;

/**
 * An in-memory key-value store with leases, whose outage can be simulated. One instance serves all nodes of a test. Leases
 * run on while the store is unreachable. The store can be restored from a copy, and then states its epoch in each answer.
 */
final class MemoryStore {
    private final Map<String, KeyValueStore.Item> items = new TreeMap<>();
    private final List<Watcher> watchers = new ArrayList<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final Map<String, Long> leaseByKey = new HashMap<>();
    private long revision = 1;
    private long lastLeaseId;
    private OptionalLong epoch = OptionalLong.empty();
    private final Set<String> readKeys = new HashSet<>();
    private final Set<String> listedPrefixes = new HashSet<>();
    /** Receives the failure of the next read, whose answer is lost; null if none is. */
    private Consumer<Runnable> lostRead;

    private volatile boolean down;

    private record Watcher(String prefix, long afterRevision, Call<KeyValueStore.WatchResult> call) {}

    /** A call that is not answered yet. */
    private record Call<T>(
            Executor executor,
            StoreEpochs epochs,
            long restoresWhenSent,
            boolean boundToEpoch,
            CompletableFuture<T> future) {
        void answer(T value, OptionalLong epoch, BooleanSupplier failed) {
            executor.execute(() -> {
                if (failed.getAsBoolean()) {
                    future.completeExceptionally(new StoreUnavailableException("down"));
                } else if (!epochs.accept(epoch, restoresWhenSent, boundToEpoch)) {
                    future.completeExceptionally(new StoreOutcomeUnknownException("restored"));
                } else {
                    future.complete(value);
                }
            });
        }
    }

    /** A copy of the whole store. */
    record Copy(
            Map<String, KeyValueStore.Item> items,
            Map<Long, Lease> leases,
            Map<String, Long> leaseByKey,
            long revision,
            long lastLeaseId) {}

    private record Lease(long lifetimeNanos, long endNanos) {
        static Lease startingNow(long lifetimeNanos) {
            return new Lease(lifetimeNanos, System.nanoTime() + lifetimeNanos);
        }
    }

    void down(boolean unreachable) {
        down = unreachable;
    }

    /**
     * Loses the answer to the next read of a key.
     *
     * @param onLost receives an action that fails the read, to be run when it times out
     */
    synchronized void loseNextRead(Consumer<Runnable> onLost) {
        lostRead = onLost;
    }

    /** States an epoch in each answer from now on. */
    synchronized void epoch(long current) {
        epoch = OptionalLong.of(current);
    }

    synchronized Copy copy() {
        return new Copy(Map.copyOf(items), Map.copyOf(leases), Map.copyOf(leaseByKey), revision, lastLeaseId);
    }

    /** Replaces all items and leases by those of a copy, and starts the next epoch. Watches fail. */
    synchronized void restore(Copy copy) {
        epoch = OptionalLong.of(epoch.orElse(0) + 1);
        items.clear();
        items.putAll(copy.items());
        leases.clear();
        leases.putAll(copy.leases());
        leaseByKey.clear();
        leaseByKey.putAll(copy.leaseByKey());
        revision = copy.revision();
        lastLeaseId = copy.lastLeaseId();
        watchers.forEach(watcher -> deliver(watcher, null, () -> true));
        watchers.clear();
    }

    /** Returns the lease under which a key was written, empty if it is absent or has none. */
    synchronized Optional<Long> leaseOf(String key) {
        endExpiredLeases();
        return Optional.ofNullable(leaseByKey.get(key));
    }

    /** Returns the value of a key, empty if it is absent. */
    synchronized Optional<byte[]> value(String key) {
        endExpiredLeases();
        return Optional.ofNullable(items.get(key)).map(KeyValueStore.Item::value);
    }

    synchronized long put(String key, byte[] value) {
        KeyValueStore.Item item = new KeyValueStore.Item(key, value, ++revision);
        items.put(key, item);
        deliver(key, Optional.of(item));
        return revision;
    }

    /** Returns the value of a key as text, empty if there is none. */
    synchronized String text(String key) {
        KeyValueStore.Item item = items.get(key);
        return item == null ? "" : new String(item.value(), StandardCharsets.UTF_8);
    }

    /** Returns the keys that were read one by one. */
    synchronized Set<String> readKeys() {
        return Set.copyOf(readKeys);
    }

    /** Returns the prefixes that were listed. */
    synchronized Set<String> listedPrefixes() {
        return Set.copyOf(listedPrefixes);
    }

    synchronized void remove(String key) {
        revision++;
        items.remove(key);
        leaseByKey.remove(key);
        deliver(key, Optional.empty());
    }

    /** Ends all leases, as a store may do during an outage. */
    synchronized void endAllLeases() {
        List.copyOf(leases.keySet()).forEach(this::endLease);
    }

    private synchronized void endLease(long lease) {
        leases.remove(lease);
        List<String> keys = leaseByKey.entrySet().stream()
                .filter(entry -> entry.getValue() == lease)
                .map(Map.Entry::getKey)
                .toList();
        keys.forEach(this::remove);
    }

    private synchronized void endExpiredLeases() {
        long now = System.nanoTime();
        List<Long> expired = leases.entrySet().stream()
                .filter(lease -> lease.getValue().endNanos() - now < 0)
                .map(Map.Entry::getKey)
                .toList();
        expired.forEach(this::endLease);
    }

    private void deliver(String key, Optional<KeyValueStore.Item> item) {
        List<Watcher> notified = new ArrayList<>(watchers);
        watchers.clear();
        for (Watcher watcher : notified) {
            if (!key.startsWith(watcher.prefix()) || revision <= watcher.afterRevision()) {
                watchers.add(watcher);
                continue;
            }
            var change = new KeyValueStore.Change(key, item);
            var changes = new KeyValueStore.WatchResult(List.of(change), revision, false);
            deliver(watcher, changes);
        }
    }

    private void deliver(Watcher watcher, KeyValueStore.WatchResult changes) {
        deliver(watcher, changes, () -> false);
    }

    private void deliver(Watcher watcher, KeyValueStore.WatchResult changes, BooleanSupplier failed) {
        try {
            watcher.call().answer(changes, epoch, failed);
        } catch (RejectedExecutionException e) {
            // The watching node has stopped; the write or restore that triggered the notification must not fail.
            watcher.call().future().cancel(false);
        }
    }

    /** Returns a client of the store whose futures complete on the given executor. */
    KeyValueStore client(Executor executor) {
        return new Client(executor);
    }

    private final class Client implements KeyValueStore {
        private final Executor executor;
        private final StoreEpochs epochs = new StoreEpochs();

        Client(Executor executor) {
            this.executor = executor;
        }

        @Override
        public void onRestore(Runnable listener) {
            epochs.onRestore(listener);
        }

        @Override
        public OptionalLong epoch() {
            return epochs.current();
        }

        private <T> Call<T> newCall(boolean boundToEpoch) {
            return new Call<>(executor, epochs, epochs.restores(), boundToEpoch, new CompletableFuture<>());
        }

        private <T> CompletableFuture<T> respond(T value) {
            return respond(value, false);
        }

        private <T> CompletableFuture<T> respond(T value, boolean boundToEpoch) {
            Call<T> call = newCall(boundToEpoch);
            call.answer(value, epoch, () -> down);
            return call.future();
        }

        @Override
        public CompletableFuture<Optional<Item>> read(String key) {
            synchronized (MemoryStore.this) {
                endExpiredLeases();
                readKeys.add(key);
                if (lostRead != null) {
                    CompletableFuture<Optional<Item>> lost = new CompletableFuture<>();
                    lostRead.accept(() -> lost.completeExceptionally(new StoreOutcomeUnknownException("lost")));
                    lostRead = null;
                    return lost;
                }
                return respond(Optional.ofNullable(items.get(key)));
            }
        }

        @Override
        public CompletableFuture<Listing> list(String prefix) {
            synchronized (MemoryStore.this) {
                endExpiredLeases();
                listedPrefixes.add(prefix);
                return respond(new Listing(
                        items.values().stream()
                                .filter(item -> item.key().startsWith(prefix))
                                .toList(),
                        revision));
            }
        }

        @Override
        public CompletableFuture<WatchResult> watch(String prefix, long afterRevision, long waitMillis) {
            synchronized (MemoryStore.this) {
                List<Change> missed = items.values().stream()
                        .filter(item -> item.key().startsWith(prefix) && item.revision() > afterRevision)
                        .map(item -> new Change(item.key(), Optional.of(item)))
                        .toList();
                if (!missed.isEmpty() || down) {
                    return respond(new WatchResult(missed, revision, false), true);
                }
                Call<WatchResult> call = newCall(true);
                watchers.add(new Watcher(prefix, afterRevision, call));
                return call.future();
            }
        }

        @Override
        public CompletableFuture<Long> startLease(long lifetimeMillis) {
            synchronized (MemoryStore.this) {
                leases.put(++lastLeaseId, Lease.startingNow(TimeUnit.MILLISECONDS.toNanos(lifetimeMillis)));
                return respond(lastLeaseId);
            }
        }

        @Override
        public CompletableFuture<Boolean> renewLease(long lease) {
            synchronized (MemoryStore.this) {
                endExpiredLeases();
                if (!down) {
                    leases.computeIfPresent(lease, (id, running) -> Lease.startingNow(running.lifetimeNanos()));
                }
                return respond(leases.containsKey(lease), true);
            }
        }

        @Override
        public CompletableFuture<Void> endLease(long lease) {
            if (!down) {
                MemoryStore.this.endLease(lease);
            }
            return respond(null, true);
        }

        @Override
        public CompletableFuture<Optional<Long>> write(String key, byte[] value, long expectedRevision, long lease) {
            synchronized (MemoryStore.this) {
                endExpiredLeases();
                Item stored = items.get(key);
                long current = stored == null ? 0 : stored.revision();
                if (down || current != expectedRevision || !leases.containsKey(lease)) {
                    return respond(Optional.empty(), true);
                }
                leaseByKey.put(key, lease);
                return respond(Optional.of(put(key, value)), true);
            }
        }

        @Override
        public CompletableFuture<Boolean> remove(String key, long expectedRevision) {
            synchronized (MemoryStore.this) {
                Item stored = items.get(key);
                if (down || stored == null || stored.revision() != expectedRevision) {
                    return respond(false, true);
                }
                MemoryStore.this.remove(key);
                return respond(true, true);
            }
        }

        @Override
        public void close() {}
    }
}
