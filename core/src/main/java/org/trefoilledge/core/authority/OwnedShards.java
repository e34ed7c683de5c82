package org.trefoilledge.core.authority;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The shards that this run owns by the latest known record, and those it has suspended for a pending transfer. */
final class OwnedShards {
    private final Map<Integer, Gain> acquisitions = new HashMap<>();
    private final Set<Integer> suspended = new HashSet<>();
    private final Map<Integer, Long> handedOver = new HashMap<>();

    /** The range of record versions in which this run acquired a shard: after {@code after}, up to {@code upTo}. */
    private record Gain(long after, long upTo) {}

    boolean usable(int shard) {
        return acquisitions.containsKey(shard) && !suspended.contains(shard);
    }

    Set<Integer> usable() {
        Set<Integer> usable = new HashSet<>(acquisitions.keySet());
        usable.removeAll(suspended);
        return usable;
    }

    Set<Integer> lostShards(Set<Integer> next) {
        Set<Integer> lost = new HashSet<>(acquisitions.keySet());
        lost.removeAll(next);
        return lost;
    }

    void remove(Set<Integer> lost) {
        acquisitions.keySet().removeAll(lost);
        suspended.removeAll(lost);
        handedOver.keySet().removeAll(lost);
    }

    void add(int shard, long after, long upTo) {
        acquisitions.put(shard, new Gain(after, upTo));
    }

    boolean isOwned(int shard) {
        return acquisitions.containsKey(shard);
    }

    /** Stops acting for shards before the write that transfers them. */
    void suspend(Set<Integer> shards) {
        suspended.addAll(shards);
    }

    /** Resumes all suspended shards that are still owned, once the outcome of the write is certain. */
    void resumeAll() {
        suspended.clear();
    }

    /** Records that a previous owner's table arrived, possibly before the record that shows the transfer. */
    List<AuthorityAction> handedOver(int shard, long version) {
        handedOver.put(shard, version);
        return acceptHandOver(shard);
    }

    /**
     * Returns the action that accepts a received table, if it belongs to the transfer by which this run acquired the
     * shard. A table of an earlier transfer lacks the claims of the owners in between.
     */
    List<AuthorityAction> acceptHandOver(int shard) {
        Gain gain = acquisitions.get(shard);
        Long version = handedOver.get(shard);
        if (gain == null || version == null || version <= gain.after() || version > gain.upTo()) {
            return List.of();
        }
        handedOver.remove(shard);
        return List.of(new AuthorityAction.AcceptHandOver(shard, version));
    }
}
