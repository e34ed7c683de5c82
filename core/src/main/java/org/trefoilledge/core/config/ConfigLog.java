package org.trefoilledge.core.config;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * A node's copy of the configuration log: a state machine that only moves forward. Entries are accepted in order and
 * only if they chain to the entry before; a restored older store or a stale peer cannot make it revert.
 */
public final class ConfigLog {
    /** How many entries are kept for peers that are behind; others need the store or a full copy. */
    public static final int MAX_RETAINED_ENTRIES = 1024;

    private final TreeMap<Long, byte[]> entries = new TreeMap<>();
    private Inventory inventory = Inventory.EMPTY;
    private long revision;
    private String digest = "";

    /** What became of an offered entry. */
    public enum OfferResult {
        /** It was the next entry and is in force now. */
        APPLIED,
        /** It is in force already. */
        KNOWN,
        /** Entries before it are missing. */
        GAP,
        /** Another entry with this revision, or one that this entry chains to, is in force: the log was forked. */
        FORK
    }

    /** Returns the highest revision in force, 0 before the first. */
    public long revision() {
        return revision;
    }

    /** Returns the digest of the entry at {@link #revision()}, empty before the first. */
    public String digest() {
        return digest;
    }

    /** Returns the configuration in force. */
    public Inventory inventory() {
        return inventory;
    }

    /**
     * Offers an encoded entry.
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
        byte[] kept = entries.get(offered);
        if (kept == null) {
            return OfferResult.KNOWN;
        }
        return ConfigCodec.digest(kept).equals(ConfigCodec.digest(encoded)) ? OfferResult.KNOWN : OfferResult.FORK;
    }

    /** Returns at most {@code limit} encoded entries from the given revision on, in order; empty if not kept. */
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
     * Replaces the whole state by a snapshot of a higher revision; a lower one is ignored.
     *
     * @return whether the snapshot was taken
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
