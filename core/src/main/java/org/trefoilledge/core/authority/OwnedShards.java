package org.trefoilledge.core.authority;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The shards that the known record gives to this run, less those it has stopped acting for. */
final class OwnedShards {
    private final Map<Integer, Gain> acquisitions = new HashMap<>();
    private final Set<Integer> suspended = new HashSet<>();
    private final Map<Integer, Long> handedOver = new HashMap<>();

    /** The shard came to this run with a version after the first and at most the second. */
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

    /** Stops acting for shards before a write that gives them away. */
    void suspend(Set<Integer> shards) {
        suspended.addAll(shards);
    }

    /** The write certainly had no effect. */
    void resumeAll() {
        suspended.clear();
    }

    /** A predecessor's table of this transfer arrived, possibly before the record that shows the transfer. */
    List<AuthorityAction> handedOver(int shard, long version) {
        handedOver.put(shard, version);
        return acceptHandOver(shard);
    }

    /**
     * Returns the acceptance of a table that arrived, if its transfer is the one by which this run owns the shard. A
     * table of an earlier transfer lacks the claims of the owners in between.
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
