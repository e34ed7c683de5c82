package org.trefoilledge.operator;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.trefoilledge.configstore.Store;
import org.trefoilledge.configstore.StoreException;
import org.trefoilledge.configstore.StoreOutcomeUnknownException;
import org.trefoilledge.configstore.StoreUnavailableException;
import org.trefoilledge.configstore.StoredValue;
import org.trefoilledge.configstore.Watch;

/** A store in memory whose next calls can be made to fail. */
final class MemoryStore implements Store {
    enum Fault {
        NONE,
        /** The store refuses the call. */
        UNAVAILABLE,
        /** The write takes effect, but the answer is lost. */
        ANSWER_LOST,
        /** The write does not arrive, and the caller cannot know. */
        REQUEST_LOST
    }

    final Deque<Fault> swapFaults = new ArrayDeque<>();
    final Deque<Fault> readFaults = new ArrayDeque<>();
    Runnable beforeNextSwap = () -> {};
    private final TreeMap<String, StoredValue> values = new TreeMap<>();
    private long revision;

    @Override
    public synchronized Optional<StoredValue> read(String key) throws StoreException {
        failIf(readFaults);
        return Optional.ofNullable(values.get(key));
    }

    @Override
    public synchronized List<StoredValue> range(String firstKey, String endKey, int limit) throws StoreException {
        failIf(readFaults);
        return values.subMap(firstKey, endKey).values().stream().limit(limit).toList();
    }

    private static void failIf(Deque<Fault> faults) throws StoreException {
        Fault fault = faults.isEmpty() ? Fault.NONE : faults.poll();
        if (fault != Fault.NONE) {
            throw new StoreUnavailableException("the store does not answer");
        }
    }

    @Override
    public synchronized Optional<StoredValue> swap(String key, long expectedModRevision, String value)
            throws StoreException {
        Runnable race = beforeNextSwap;
        beforeNextSwap = () -> {};
        race.run();
        Fault fault = swapFaults.isEmpty() ? Fault.NONE : swapFaults.poll();
        if (fault == Fault.UNAVAILABLE) {
            throw new StoreUnavailableException("the store does not answer");
        }
        Optional<StoredValue> written =
                fault == Fault.REQUEST_LOST ? Optional.empty() : write(key, expectedModRevision, value);
        if (fault != Fault.NONE) {
            throw new StoreOutcomeUnknownException("the answer was lost");
        }
        return written;
    }

    private Optional<StoredValue> write(String key, long expectedModRevision, String value) {
        StoredValue old = values.get(key);
        if ((old == null ? 0 : old.modRevision()) != expectedModRevision) {
            return Optional.empty();
        }
        StoredValue written = new StoredValue(key, value, ++revision);
        values.put(key, written);
        return Optional.of(written);
    }

    synchronized void put(String key, String value) {
        values.put(key, new StoredValue(key, value, ++revision));
    }

    synchronized int size() {
        return values.size();
    }

    @Override
    public Watch watch(String prefix, Consumer<StoredValue> listener) {
        throw new UnsupportedOperationException("the commands do not watch");
    }

    @Override
    public void close() {}
}
