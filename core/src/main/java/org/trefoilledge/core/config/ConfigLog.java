package org.trefoilledge.core.config;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * A local replica of the configuration log, whose revision never decreases. Entries are applied in order and only if
 * they contain the digest of the previous entry, so a store restored from an old backup or a stale peer cannot revert
 * the configuration.
 */
public final class ConfigLog {
    /** Entries retained for peers that lag behind. Peers that lag further read the store or a snapshot. */
    public static final int MAX_RETAINED_ENTRIES = 1024;

    private final TreeMap<Long, byte[]> entries = new TreeMap<>();
    private Inventory inventory = Inventory.EMPTY;
    private long revision;
    private String digest = "";

    /** Result of offering an entry. */
    public enum OfferResult {
        /** The entry was the next one and has been applied. */
        APPLIED,
        /** The entry has already been applied. Entries that are no longer retained are not compared. */
        KNOWN,
        /** Entries before the offered one are missing. */
        GAP,
        /** A different entry with this revision or the previous one has been applied: the log has forked. */
        FORK
    }

    /** Returns the revision of the last applied entry, 0 before the first. */
    public long revision() {
        return revision;
    }

    /** Returns the digest of the entry at {@link #revision()}, empty before the first. */
    public String digest() {
        return digest;
    }

    /** Returns the current configuration. */
    public Inventory inventory() {
        return inventory;
    }

    /**
     * Applies an encoded entry if it is the next one.
     *
     * @throws ConfigException if the bytes are not a valid entry
     */
    public OfferResult offer(byte[] encoded) throws ConfigException {
        LogEntry entry = ConfigCodec.decode(encoded);
        if (entry.revision() <= revision) {
            return compareWithRetained(entry.revision(), encoded);
        }
        if (entry.revision() > revision + 1) {
            return OfferResult.GAP;
        }
        if (!entry.previousDigest().equals(digest)) {
            return OfferResult.FORK;
        }
        inventory = inventory.with(entry.changes());
        revision = entry.revision();
        digest = ConfigCodec.digest(encoded);
        entries.put(revision, encoded.clone());
        if (entries.size() > MAX_RETAINED_ENTRIES) {
            entries.pollFirstEntry();
        }
        return OfferResult.APPLIED;
    }

    private OfferResult compareWithRetained(long offered, byte[] encoded) {
        byte[] retained = entries.get(offered);
        if (retained == null) {
            return OfferResult.KNOWN;
        }
        return ConfigCodec.digest(retained).equals(ConfigCodec.digest(encoded)) ? OfferResult.KNOWN : OfferResult.FORK;
    }

    /** Returns at most {@code limit} encoded entries from the given revision on; empty if these are not retained. */
    public List<byte[]> entriesFrom(long first, int limit) {
        List<byte[]> found = new ArrayList<>();
        for (long r = first; r <= revision && found.size() < limit; r++) {
            byte[] entry = entries.get(r);
            if (entry == null) {
                return List.of();
            }
            found.add(entry);
        }
        return found;
    }

    /**
     * Replaces the whole state by a snapshot. A snapshot whose revision is not higher than the current one is ignored.
     *
     * @return whether the snapshot was applied
     */
    public boolean restore(long snapshotRevision, String snapshotDigest, Inventory snapshot) {
        if (snapshotRevision <= revision) {
            return false;
        }
        inventory = snapshot;
        revision = snapshotRevision;
        digest = snapshotDigest;
        entries.clear();
        return true;
    }
}
