package org.trefoilledge.core.authority;

import java.util.Set;

/**
 * The shards that a node may act for, and the end of this authority by the node's monotonic clock.
 *
 * @param untilMillis the first millisecond at which the authority has expired
 */
public record Grant(long untilMillis, Set<Integer> shards) {
    /** No authority. */
    public static final Grant NONE = new Grant(Long.MIN_VALUE, Set.of());

    /** Copies the set. */
    public Grant {
        shards = Set.copyOf(shards);
    }

    /** Returns whether the node may act for the shard. Check it directly before each action. */
    public boolean mayAct(int shard, long now) {
        return now < untilMillis && shards.contains(shard);
    }
}
