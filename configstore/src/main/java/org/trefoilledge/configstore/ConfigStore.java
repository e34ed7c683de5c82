package org.trefoilledge.configstore;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.trefoilledge.core.config.ConfigCodec;
import org.trefoilledge.core.config.ConfigException;
import org.trefoilledge.core.config.LogEntry;

/**
 * The configuration log in the store: one key for each entry, created only if absent, so that the creation decides
 * which writer gets a revision. Calls block; instances are thread-safe.
 */
public final class ConfigStore {
    /** A snapshot is due after so many entries. */
    public static final int SNAPSHOT_INTERVAL = 256;

    private static final Logger log = LoggerFactory.getLogger(ConfigStore.class);

    /** Entries are up to 1 MB each, so larger pages could exceed the memory of a node. */
    private static final int PAGE_ENTRIES = 32;

    /** With the default time limit, an append ends within six seconds. */
    private static final int APPEND_ATTEMPTS = 3;

    private final Store store;
    private final SnapshotStore snapshots;
    private final LogHealer healer;

    /** Keeps the log in the given store, which the caller closes. */
    public ConfigStore(Store store) {
        this.store = store;
        snapshots = new SnapshotStore(store);
        healer = new LogHealer(store);
    }

    /** Returns whether the writer of an entry should store a snapshot after it. */
    public static boolean snapshotDue(long revision) {
        return revision > 0 && revision % SNAPSHOT_INTERVAL == 0;
    }

    /**
     * Appends an entry at its revision. A lost response is resolved by reading the entry and comparing the operation id;
     * if the entry is absent, the creation is tried again, which is harmless.
     *
     * @throws StoreException if the entry is certainly not in the log and was refused or the store cannot be reached
     * @throws ConfigException if the entry does not chain to the entry before it in the store, so that no node would
     *     accept it; nothing was written
     */
    public AppendResult append(LogEntry entry) throws StoreException, ConfigException {
        checkChain(entry);
        String key = LogKeys.entry(entry.revision());
        String value = new String(ConfigCodec.encode(entry), StandardCharsets.UTF_8);
        boolean mayBeWritten = false;
        for (int attempt = 0; attempt < APPEND_ATTEMPTS; attempt++) {
            try {
                if (store.swap(key, 0, value).isPresent()) {
                    return new AppendResult.Accepted(entry.revision());
                }
            } catch (StoreOutcomeUnknownException e) {
                mayBeWritten = true;
                log.info("config: response to the write of revision {} was lost: reading it", entry.revision());
            } catch (StoreException e) {
                if (!mayBeWritten) {
                    throw e;
                }
            }
            Optional<AppendResult> found = look(entry);
            if (found.isPresent()) {
                return found.get();
            }
        }
        return new AppendResult.Unknown(entry.revision(), entry.operation());
    }

    private void checkChain(LogEntry entry) throws StoreException, ConfigException {
        long before = entry.revision() - 1;
        String digest =
                before == 0 ? "" : entry(before).map(ConfigCodec::digest).orElse("no entry");
        if (!digest.equals(entry.previousDigest())) {
            throw new ConfigException("revision " + entry.revision() + " does not follow revision " + before
                    + " of the store, which may have been restored from an older copy");
        }
    }

    private Optional<AppendResult> look(LogEntry entry) {
        try {
            Optional<String> winner = operationAt(entry.revision());
            return winner.map(operation -> operation.equals(entry.operation())
                    ? new AppendResult.Accepted(entry.revision())
                    : new AppendResult.Taken(entry.revision(), operation));
        } catch (StoreException e) {
            log.info("config: revision {} cannot be read: {}", entry.revision(), e.getMessage());
            return Optional.empty();
        }
    }

    /**
     * Tells what the log shows about an operation at its revision.
     *
     * @throws StoreException if the store cannot be read
     */
    public OperationOutcome outcome(long revision, String operation) throws StoreException {
        Optional<String> winner = operationAt(revision);
        if (winner.isEmpty()) {
            return OperationOutcome.ABSENT;
        }
        return winner.get().equals(operation) ? OperationOutcome.ACCEPTED : OperationOutcome.TAKEN;
    }

    /**
     * Searches the log for an operation, from a revision on, and returns its revision; empty if no entry has it, although
     * a write that is still on its way may add it.
     *
     * @throws StoreException if the store cannot be read
     */
    public Optional<Long> find(String operation, long firstRevision) throws StoreException {
        long next = firstRevision;
        while (true) {
            List<byte[]> page = entries(next, PAGE_ENTRIES);
            for (byte[] encoded : page) {
                if (operationOf(encoded).equals(operation)) {
                    return Optional.of(next);
                }
                next++;
            }
            if (page.size() < PAGE_ENTRIES) {
                return Optional.empty();
            }
        }
    }

    /** Returns the operation id of the entry at a revision, an empty text if the entry cannot be decoded. */
    private Optional<String> operationAt(long revision) throws StoreException {
        return entry(revision).map(ConfigStore::operationOf);
    }

    private static String operationOf(byte[] encoded) {
        try {
            return ConfigCodec.decode(encoded).operation();
        } catch (ConfigException e) {
            log.warn("config: an entry of the log cannot be decoded: {}", e.getMessage());
            return "";
        }
    }

    /**
     * Returns the encoded entry at a revision, empty if there is none.
     *
     * @throws StoreException if the store cannot be read
     */
    public Optional<byte[]> entry(long revision) throws StoreException {
        return store.read(LogKeys.entry(revision)).map(ConfigStore::bytes);
    }

    /**
     * Returns at most {@code limit} encoded entries from a revision on, in order. The list ends before the first missing
     * revision.
     *
     * @throws StoreException if the store cannot be read
     */
    public List<byte[]> entries(long firstRevision, int limit) throws StoreException {
        List<byte[]> found = new ArrayList<>();
        while (found.size() < limit) {
            int wanted = Math.min(PAGE_ENTRIES, limit - found.size());
            int page = page(firstRevision + found.size(), wanted, found);
            if (page < wanted) {
                break;
            }
        }
        return found;
    }

    private int page(long first, int wanted, List<byte[]> found) throws StoreException {
        long end = Math.min(LogKeys.MAX_REVISION, first + wanted);
        int added = 0;
        for (StoredValue value : store.range(LogKeys.entry(first), LogKeys.entry(end), wanted)) {
            if (!value.key().equals(LogKeys.entry(first + added))) {
                break;
            }
            found.add(bytes(value));
            added++;
        }
        return added;
    }

    /**
     * Finds the highest revision of the log, 0 if it is empty, with a number of reads that grows with the logarithm of
     * the distance. The log has no gaps, because writers append after its head and missing entries are written back in
     * order.
     *
     * @param known a revision that the log probably has, 0 if none is known
     * @throws StoreException if the store cannot be read
     */
    public long head(long known) throws StoreException {
        long low = known > 0 && entry(known).isPresent() ? known : 0;
        long step = 1;
        while (entry(low + step).isPresent()) {
            low += step;
            step *= 2;
        }
        long high = low + step;
        while (high - low > 1) {
            long middle = low + (high - low) / 2;
            if (entry(middle).isPresent()) {
                low = middle;
            } else {
                high = middle;
            }
        }
        return low;
    }

    /**
     * Writes a snapshot in parts; parts that are there already are kept, because they are equal.
     *
     * @throws StoreException if a part may be missing; the call can be repeated
     */
    public void writeSnapshot(ConfigSnapshot snapshot) throws StoreException {
        snapshots.write(snapshot);
    }

    /**
     * Returns the latest complete snapshot at or below a revision. Snapshots that lack a part or do not belong to the
     * log in the store are passed over; without a usable one, the log has to be read from its start.
     *
     * @throws StoreException if the store cannot be read
     */
    public Optional<ConfigSnapshot> snapshot(long atMost) throws StoreException {
        return snapshots.latest(atMost);
    }

    /**
     * Writes back entries that the store lacks after it was restored from an older copy, in order and only if absent.
     *
     * @param entries consecutive encoded entries that were in force
     * @throws StoreException if the store cannot be reached or a write's outcome stays unknown; the call can be repeated
     * @throws ConfigException if the given entries are not valid or not consecutive
     */
    public HealResult heal(List<byte[]> entries) throws StoreException, ConfigException {
        return healer.heal(entries);
    }

    /**
     * Calls the listener with each encoded entry that is written from now on; see {@link Store#watch}.
     *
     * @throws StoreException if the watch cannot be started
     */
    public Watch watch(Consumer<byte[]> listener) throws StoreException {
        return store.watch(LogKeys.LOG, value -> listener.accept(bytes(value)));
    }

    static byte[] bytes(StoredValue value) {
        return value.value().getBytes(StandardCharsets.UTF_8);
    }
}
