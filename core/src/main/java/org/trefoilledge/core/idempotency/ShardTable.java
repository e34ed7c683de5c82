package org.trefoilledge.core.idempotency;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * A shard's table, or a part of it, as it is transferred to the next owner.
 *
 * @param gap ids that the sender itself does not know, empty if it knows all ids within the horizon
 * @param last whether this is the last part
 */
public record ShardTable(int shard, List<KeptOutcome> outcomes, Optional<Gap> gap, boolean last) {
    private static final int ENTRY_OVERHEAD_BYTES = 256;

    /**
     * A takeover without the predecessor's table: the outcome of ids from before it is unknown.
     *
     * @param ageMillis time since the takeover
     * @param wallMillis wall-clock time of the takeover, which is compared with the time in a UUIDv7
     */
    public record Gap(long ageMillis, long wallMillis) {}

    /** Copies the list. */
    public ShardTable {
        outcomes = List.copyOf(outcomes);
    }

    /** Returns parts of about the given size, at least one, of which only the last is marked so. */
    public List<ShardTable> parts(int bytes) {
        List<ShardTable> parts = new ArrayList<>();
        List<KeptOutcome> part = new ArrayList<>();
        int size = 0;
        for (KeptOutcome kept : outcomes) {
            int added = ENTRY_OVERHEAD_BYTES + kept.outcome().bytes();
            if (!part.isEmpty() && size + added > bytes) {
                parts.add(new ShardTable(shard, part, gap, false));
                part = new ArrayList<>();
                size = 0;
            }
            part.add(kept);
            size += added;
        }
        parts.add(new ShardTable(shard, part, gap, true));
        return parts;
    }
}
