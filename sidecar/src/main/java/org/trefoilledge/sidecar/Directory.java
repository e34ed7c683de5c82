package org.trefoilledge.sidecar;

import com.dynatrace.hash4j.hashing.Hashing;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.Incarnation;
import org.trefoilledge.core.ZoneId;
import org.trefoilledge.core.rate.ZoneDelegates;

/**
 * The nodes and the claims on rates. A node that reads the store learns them there; the others learn them from it, as the
 * changes since the version that they know. A node whose entry has gone from the store is kept for a moment: leases may
 * lapse while the store is away, and a living node writes its entry again. Used on the control thread.
 */
final class Directory {
    private static final Logger LOG = LoggerFactory.getLogger(Directory.class);
    static final String PREFIX = "fleet/";
    static final String NODES = PREFIX + "nodes/";
    static final String CLAIMS = PREFIX + "rates/";
    /** A living node writes its entry again within two seconds of the store's return. */
    private static final long LINGER_MILLIS = 2_500;

    /** Delegates of each zone; two, so that the loss of one is made up for at once. */
    private static final int DELEGATES = 2;

    private final HostId self;
    private final ZoneId zone;
    private final ClaimListener claims;
    private final Map<ZoneId, List<HostId>> delegates = new HashMap<>();
    private final Map<String, KeyValueStore.Item> items = new TreeMap<>();
    private final Map<HostId, Member> members = new HashMap<>();
    private final Map<HostId, Long> vanishedSince = new HashMap<>();
    /** The version at which each key has changed last. */
    private final Map<String, Long> changedAt = new HashMap<>();

    private Map<HostId, Member> others = Map.of();
    private Map<HostId, ZoneId> zones;
    private long version;
    private boolean complete;
    /** Whether the tables of nodes are older than the members. */
    private boolean outdated;

    /** Hears of each claim that has changed. */
    @FunctionalInterface
    interface ClaimListener {
        void changed(String name, Optional<KeyValueStore.Item> item);
    }

    /**
     * What has changed since a version.
     *
     * @param whole whether the changes are all that is known, and replace what the receiver knows
     */
    record Update(long version, boolean whole, List<KeyValueStore.Change> changes) {}

    Directory(HostId self, ZoneId zone, ClaimListener claims) {
        this.self = self;
        this.zone = zone;
        this.zones = Map.of(self, zone);
        this.claims = claims;
    }

    /** Returns what tells the versions of one run of a node from those of another; runs may begin at the same time. */
    static long source(HostId host, Incarnation incarnation) {
        return Hashing.xxh3_64().hashCharsToLong(host + "#" + incarnation.value());
    }

    /** Returns the other nodes, as an immutable table. */
    Map<HostId, Member> others() {
        return others;
    }

    /** Returns whether all nodes have been listed since this one started. */
    boolean complete() {
        return complete;
    }

    /** Returns the zone of each node, this one included. */
    Map<HostId, ZoneId> zones() {
        return zones;
    }

    /** Returns the nodes that act for a zone, in the order in which they are asked. */
    List<HostId> delegates(ZoneId of) {
        return delegates.computeIfAbsent(of, each -> ZoneDelegates.of(each, zones, DELEGATES));
    }

    /** Takes everything that is in the store; nodes that are missing linger. */
    void listed(Collection<KeyValueStore.Item> all, long now) {
        replace(all, Optional.of(now));
    }

    /** Takes changes in the store; nodes whose entry is removed linger. */
    void changed(List<KeyValueStore.Change> changes, long now) {
        changes.forEach(change -> apply(change, Optional.of(now)));
        show();
    }

    /** Takes what the collector of the zone told, which has waited for nodes that vanished. */
    void told(Update update) {
        if (update.whole()) {
            replace(
                    update.changes().stream()
                            .map(change -> change.item().orElseThrow())
                            .toList(),
                    Optional.empty());
        } else {
            update.changes().forEach(change -> apply(change, Optional.empty()));
            show();
        }
    }

    private void replace(Collection<KeyValueStore.Item> all, Optional<Long> lingerFrom) {
        Set<String> missing = new HashSet<>(items.keySet());
        for (KeyValueStore.Item item : all) {
            missing.remove(item.key());
            apply(new KeyValueStore.Change(item.key(), Optional.of(item)), lingerFrom);
        }
        missing.forEach(key -> apply(new KeyValueStore.Change(key, Optional.empty()), lingerFrom));
        complete = true;
        show();
    }

    private void apply(KeyValueStore.Change change, Optional<Long> lingerFrom) {
        if (change.key().startsWith(CLAIMS)) {
            if (store(change)) {
                claims.changed(change.key().substring(CLAIMS.length()), change.item());
            }
        } else if (change.key().startsWith(NODES)) {
            node(change, lingerFrom);
        }
    }

    private void node(KeyValueStore.Change change, Optional<Long> lingerFrom) {
        HostId host;
        try {
            host = new HostId(change.key().substring(NODES.length()));
        } catch (IllegalArgumentException e) {
            LOG.warn("directory: ignored an entry with the key {}", change.key());
            return;
        }
        if (change.item().isEmpty()) {
            if (lingerFrom.isPresent() && members.containsKey(host)) {
                vanishedSince.putIfAbsent(host, lingerFrom.get());
            } else {
                forget(host);
            }
            return;
        }
        vanishedSince.remove(host);
        if (!store(change)) {
            return;
        }
        try {
            members.put(host, Member.of(change.item().get().value()));
            outdated = true;
        } catch (IOException e) {
            LOG.warn("directory: ignored the entry of {}: {}", host, e.getMessage());
        }
    }

    /** Keeps a change for the nodes that ask; returns whether it is one. */
    private boolean store(KeyValueStore.Change change) {
        KeyValueStore.Item known = items.get(change.key());
        if (change.item().isEmpty()) {
            if (known == null) {
                return false;
            }
            items.remove(change.key());
        } else {
            if (known != null && known.revision() == change.item().get().revision()) {
                return false;
            }
            items.put(change.key(), change.item().get());
        }
        changedAt.put(change.key(), ++version);
        return true;
    }

    private void forget(HostId host) {
        store(new KeyValueStore.Change(NODES + host, Optional.empty()));
        outdated |= members.remove(host) != null;
        vanishedSince.remove(host);
    }

    /**
     * Removes the nodes whose entries have not come back; returns whether there were any.
     *
     * @param heard whether a node was heard of late; such a node lives, whatever the store says
     */
    boolean forgetVanished(long now, Predicate<HostId> heard) {
        List<HostId> gone = new ArrayList<>();
        vanishedSince.forEach((host, since) -> {
            if (now - since > LINGER_MILLIS && !heard.test(host)) {
                gone.add(host);
            }
        });
        gone.forEach(this::forget);
        show();
        return !gone.isEmpty();
    }

    /** Returns the nodes without an entry in the store that have not been forgotten yet. */
    Set<HostId> vanished() {
        return Set.copyOf(vanishedSince.keySet());
    }

    /** Returns what has changed since a version of this directory; everything since version 0. */
    Update since(long known) {
        List<KeyValueStore.Change> changes = new ArrayList<>();
        boolean whole = known <= 0 || known > version;
        if (whole) {
            items.forEach((key, item) -> changes.add(new KeyValueStore.Change(key, Optional.of(item))));
        } else if (known < version) {
            changedAt.forEach((key, at) -> {
                if (at > known) {
                    changes.add(new KeyValueStore.Change(key, Optional.ofNullable(items.get(key))));
                }
            });
        }
        return new Update(version, whole, changes);
    }

    /** Makes the tables of nodes anew if members have changed. */
    private void show() {
        if (!outdated) {
            return;
        }
        outdated = false;
        Map<HostId, Member> next = new HashMap<>(members);
        next.remove(self);
        if (!next.equals(others)) {
            others = Map.copyOf(next);
            Map<HostId, ZoneId> all = new HashMap<>();
            others.forEach((host, member) -> all.put(host, member.zone()));
            all.put(self, zone);
            zones = Map.copyOf(all);
            delegates.clear();
        }
    }
}
