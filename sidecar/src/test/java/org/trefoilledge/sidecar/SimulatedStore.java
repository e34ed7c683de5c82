package org.trefoilledge.sidecar;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import org.trefoilledge.configstore.StoreOutcomeUnknownException;
import org.trefoilledge.configstore.StoreUnavailableException;

/**
 * An in-memory store with leases, on virtual time. Calls are delayed, or time out while it is unavailable. The store can
 * be restored from a copy, and then states its epoch in each answer.
 */
final class SimulatedStore {
    private static final long ANSWER_DELAY_MILLIS = 4;
    private static final long TIMEOUT_MILLIS = 1_000;
    private static final long EXPIRY_CHECK_MILLIS = 10;

    private final Map<Long, Long> leaseLifetimes = new HashMap<>();
    private final VirtualTime time;
    private final Map<String, KeyValueStore.Item> items = new TreeMap<>();
    private final Map<String, Long> leaseByKey = new HashMap<>();
    private final Map<Long, Long> leaseExpiries = new HashMap<>();
    private final BiConsumer<String, Optional<KeyValueStore.Item>> watcher;
    private boolean unavailable;
    private long revision;
    private long lastLease;
    private OptionalLong epoch = OptionalLong.empty();

    /** A copy of the whole store. */
    record Copy(
            Map<String, KeyValueStore.Item> items,
            Map<String, Long> leaseByKey,
            Map<Long, Long> leaseExpiries,
            long revision,
            long lastLease) {}

    SimulatedStore(VirtualTime time, BiConsumer<String, Optional<KeyValueStore.Item>> watcher) {
        this.time = time;
        this.watcher = watcher;
        time.scheduleEvery(EXPIRY_CHECK_MILLIS, this::expireLeases);
    }

    void unavailable(boolean current) {
        unavailable = current;
    }

    /** States an epoch in each answer from now on. */
    void epoch(long current) {
        epoch = OptionalLong.of(current);
    }

    Copy copy() {
        return new Copy(Map.copyOf(items), Map.copyOf(leaseByKey), Map.copyOf(leaseExpiries), revision, lastLease);
    }

    /** Replaces all items and leases by those of a copy, and starts the next epoch; nodes have to list again. */
    void restore(Copy copy) {
        epoch = OptionalLong.of(epoch.orElse(0) + 1);
        items.clear();
        items.putAll(copy.items());
        leaseByKey.clear();
        leaseByKey.putAll(copy.leaseByKey());
        leaseExpiries.clear();
        leaseExpiries.putAll(copy.leaseExpiries());
        revision = copy.revision();
        lastLease = copy.lastLease();
    }

    Map<String, KeyValueStore.Item> items() {
        return items;
    }

    private void expireLeases() {
        List<Long> expired = leaseExpiries.entrySet().stream()
                .filter(lease -> lease.getValue() < time.millis())
                .map(Map.Entry::getKey)
                .toList();
        expired.forEach(this::removeLease);
    }

    private void removeLease(long lease) {
        leaseExpiries.remove(lease);
        List<String> keys = leaseByKey.entrySet().stream()
                .filter(key -> key.getValue() == lease)
                .map(Map.Entry::getKey)
                .toList();
        keys.forEach(this::removeKey);
    }

    private void removeKey(String key) {
        revision++;
        items.remove(key);
        leaseByKey.remove(key);
        watcher.accept(key, Optional.empty());
    }

    /** Returns a client whose calls reach the store only while the supplier returns true. */
    KeyValueStore client(java.util.function.BooleanSupplier reachable) {
        return new Client(reachable);
    }

    private final class Client implements KeyValueStore {
        private final java.util.function.BooleanSupplier reachable;
        private final StoreEpochs epochs = new StoreEpochs();

        Client(java.util.function.BooleanSupplier reachable) {
            this.reachable = reachable;
        }

        @Override
        public void onRestore(Runnable listener) {
            epochs.onRestore(listener);
        }

        @Override
        public OptionalLong epoch() {
            return epochs.current();
        }

        private <T> CompletableFuture<T> call(java.util.function.Supplier<T> effect) {
            return call(effect, false);
        }

        private <T> CompletableFuture<T> boundCall(java.util.function.Supplier<T> effect) {
            return call(effect, true);
        }

        private <T> CompletableFuture<T> call(java.util.function.Supplier<T> effect, boolean boundToEpoch) {
            CompletableFuture<T> answer = new CompletableFuture<>();
            if (unavailable || !reachable.getAsBoolean()) {
                time.schedule(
                        TIMEOUT_MILLIS,
                        () -> answer.completeExceptionally(new StoreUnavailableException("no answer in time")));
            } else {
                T result = effect.get();
                OptionalLong stated = epoch;
                long restoresWhenSent = epochs.restores();
                time.schedule(ANSWER_DELAY_MILLIS, () -> {
                    if (epochs.accept(stated, restoresWhenSent, boundToEpoch)) {
                        answer.complete(result);
                    } else {
                        answer.completeExceptionally(new StoreOutcomeUnknownException("restored"));
                    }
                });
            }
            return answer;
        }

        @Override
        public CompletableFuture<Long> startLease(long lifetimeMillis) {
            return call(() -> {
                leaseExpiries.put(++lastLease, time.millis() + lifetimeMillis);
                leaseLifetimes.put(lastLease, lifetimeMillis);
                return lastLease;
            });
        }

        @Override
        public CompletableFuture<Boolean> renewLease(long lease) {
            return boundCall(
                    () -> leaseExpiries.computeIfPresent(lease, (id, until) -> time.millis() + leaseLifetimes.get(id))
                            != null);
        }

        @Override
        public CompletableFuture<Void> endLease(long lease) {
            return boundCall(() -> {
                removeLease(lease);
                return null;
            });
        }

        @Override
        public CompletableFuture<Optional<Long>> write(String key, byte[] value, long expectedRevision, long lease) {
            return boundCall(() -> {
                Item stored = items.get(key);
                if ((stored == null ? 0 : stored.revision()) != expectedRevision || !leaseExpiries.containsKey(lease)) {
                    return Optional.empty();
                }
                Item item = new Item(key, value, ++revision);
                items.put(key, item);
                leaseByKey.put(key, lease);
                watcher.accept(key, Optional.of(item));
                return Optional.of(revision);
            });
        }

        @Override
        public CompletableFuture<Boolean> remove(String key, long expectedRevision) {
            return boundCall(() -> {
                Item stored = items.get(key);
                boolean matches = stored != null && stored.revision() == expectedRevision;
                if (matches) {
                    removeKey(key);
                }
                return matches;
            });
        }

        @Override
        public CompletableFuture<Optional<Item>> read(String key) {
            return call(() -> Optional.ofNullable(items.get(key)));
        }

        @Override
        public CompletableFuture<Listing> list(String prefix) {
            return call(() -> new Listing(
                    items.values().stream()
                            .filter(item -> item.key().startsWith(prefix))
                            .toList(),
                    revision));
        }

        @Override
        public CompletableFuture<WatchResult> watch(String prefix, long afterRevision, long waitMillis) {
            throw new UnsupportedOperationException("changes are sent to the watcher of the simulation");
        }

        @Override
        public void close() {}
    }
}
