package org.trefoilledge.core.authority;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The shards that the known record gives to this run, less those it has stopped acting for. */
final class OwnedShards {
    private final Map<Integer, Gain> gains = new HashMap<>();
    private final Set<Integer> givenUp = new HashSet<>();
    private final Map<Integer, Long> handedOver = new HashMap<>();

    /** The shard came to this run with a version after the first and at most the second. */
    private record Gain(long after, long upTo) {}

    boolean usable(int shard) {
        return gains.containsKey(shard) && !givenUp.contains(shard);
    }

    Set<Integer> usable() {
        Set<Integer> usable = new HashSet<>(gains.keySet());
        usable.removeAll(givenUp);
        return usable;
    }

    Set<Integer> lostWith(Set<Integer> next) {
        Set<Integer> lost = new HashSet<>(gains.keySet());
        lost.removeAll(next);
        return lost;
    }

    void lose(Set<Integer> lost) {
        gains.keySet().removeAll(lost);
        givenUp.removeAll(lost);
        handedOver.keySet().removeAll(lost);
    }

    void gain(int shard, long after, long upTo) {
        gains.put(shard, new Gain(after, upTo));
    }

    boolean owned(int shard) {
        return gains.containsKey(shard);
    }

    /** Stops acting for shards before a write that gives them away. */
    void giveUp(Set<Integer> shards) {
        givenUp.addAll(shards);
    }

    /** The write certainly had no effect. */
    void takeBack() {
        givenUp.clear();
    }

    /** A predecessor's table of this transfer arrived, possibly before the record that shows the transfer. */
    List<AuthorityAction> handedOver(int shard, long version) {
        handedOver.put(shard, version);
        return accepted(shard);
    }

    /**
     * Returns the acceptance of a table that arrived, if its transfer is the one by which this run owns the shard. A
     * table of an earlier transfer lacks the claims of the owners in between.
     */
    List<AuthorityAction> accepted(int shard) {
        Gain gain = gains.get(shard);
        Long version = handedOver.get(shard);
        if (gain == null || version == null || version <= gain.after() || version > gain.upTo()) {
            return List.of();
        }
        handedOver.remove(shard);
        return List.of(new AuthorityAction.AcceptHandOver(shard, version));
    }
}
