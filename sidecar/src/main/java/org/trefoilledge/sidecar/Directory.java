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
    static final String NODE_PREFIX = PREFIX + "nodes/";
    static final String CLAIM_PREFIX = PREFIX + "rates/";
    /** A living node writes its entry again within two seconds of the store's return. */
    private static final long REMOVAL_DELAY_MILLIS = 2_500;

    /** Delegates of each zone; two, so that the loss of one is made up for at once. */
    private static final int DELEGATES_PER_ZONE = 2;

    private final HostId self;
    private final ZoneId zone;
    private final ClaimListener claimListener;
    private final Map<ZoneId, List<HostId>> delegates = new HashMap<>();
    private final Map<String, KeyValueStore.Item> items = new TreeMap<>();
    private final Map<HostId, Member> members = new HashMap<>();
    private final Map<HostId, Long> vanishedSince = new HashMap<>();
    /** The version at which each key has changed last. */
    private final Map<String, Long> changedAtVersion = new HashMap<>();

    private Map<HostId, Member> others = Map.of();
    private Map<HostId, ZoneId> zoneByHost;
    private long version;
    private boolean complete;
    /** Whether the tables of nodes are older than the members. */
    private boolean tablesOutdated;

    /** Hears of each claim that has changed. */
    @FunctionalInterface
    interface ClaimListener {
        void onClaimChanged(String name, Optional<KeyValueStore.Item> item);
    }

    /**
     * What has changed since a version.
     *
     * @param full whether the changes are all that is known, and replace what the receiver knows
     */
    record Update(long version, boolean full, List<KeyValueStore.Change> changes) {}

    Directory(HostId self, ZoneId zone, ClaimListener claims) {
        this.self = self;
        this.zone = zone;
        this.zoneByHost = Map.of(self, zone);
        this.claimListener = claims;
    }

    /** Returns what tells the versions of one run of a node from those of another; runs may begin at the same time. */
    static long versionSource(HostId host, Incarnation incarnation) {
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
    Map<HostId, ZoneId> zoneByHost() {
        return zoneByHost;
    }

    /** Returns the nodes that act for a zone, in the order in which they are asked. */
    List<HostId> delegates(ZoneId of) {
        return delegates.computeIfAbsent(of, each -> ZoneDelegates.of(each, zoneByHost, DELEGATES_PER_ZONE));
    }

    /** Takes everything that is in the store; nodes that are missing linger. */
    void applyStoreListing(Collection<KeyValueStore.Item> all, long now) {
        replaceItems(all, Optional.of(now));
    }

    /** Takes changes in the store; nodes whose entry is removed linger. */
    void applyStoreChanges(List<KeyValueStore.Change> changes, long now) {
        changes.forEach(change -> applyChange(change, Optional.of(now)));
        rebuildTables();
    }

    /** Takes what the collector of the zone told, which has waited for nodes that vanished. */
    void applyUpdate(Update update) {
        if (update.full()) {
            replaceItems(
                    update.changes().stream()
                            .map(change -> change.item().orElseThrow())
                            .toList(),
                    Optional.empty());
        } else {
            update.changes().forEach(change -> applyChange(change, Optional.empty()));
            rebuildTables();
        }
    }

    private void replaceItems(Collection<KeyValueStore.Item> all, Optional<Long> lingerFrom) {
        Set<String> missing = new HashSet<>(items.keySet());
        for (KeyValueStore.Item item : all) {
            missing.remove(item.key());
            applyChange(new KeyValueStore.Change(item.key(), Optional.of(item)), lingerFrom);
        }
        missing.forEach(key -> applyChange(new KeyValueStore.Change(key, Optional.empty()), lingerFrom));
        complete = true;
        rebuildTables();
    }

    private void applyChange(KeyValueStore.Change change, Optional<Long> lingerFrom) {
        if (change.key().startsWith(CLAIM_PREFIX)) {
            if (recordChange(change)) {
                claimListener.onClaimChanged(change.key().substring(CLAIM_PREFIX.length()), change.item());
            }
        } else if (change.key().startsWith(NODE_PREFIX)) {
            applyNodeChange(change, lingerFrom);
        }
    }

    private void applyNodeChange(KeyValueStore.Change change, Optional<Long> lingerFrom) {
        HostId host;
        try {
            host = new HostId(change.key().substring(NODE_PREFIX.length()));
        } catch (IllegalArgumentException e) {
            LOG.warn("directory: ignored an entry with the key {}", change.key());
            return;
        }
        if (change.item().isEmpty()) {
            if (lingerFrom.isPresent() && members.containsKey(host)) {
                vanishedSince.putIfAbsent(host, lingerFrom.get());
            } else {
                removeMember(host);
            }
            return;
        }
        vanishedSince.remove(host);
        if (!recordChange(change)) {
            return;
        }
        try {
            members.put(host, Member.parse(change.item().get().value()));
            tablesOutdated = true;
        } catch (IOException e) {
            LOG.warn("directory: ignored the entry of {}: {}", host, e.getMessage());
        }
    }

    /** Keeps a change for the nodes that ask; returns whether it is one. */
    private boolean recordChange(KeyValueStore.Change change) {
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
        changedAtVersion.put(change.key(), ++version);
        return true;
    }

    private void removeMember(HostId host) {
        recordChange(new KeyValueStore.Change(NODE_PREFIX + host, Optional.empty()));
        tablesOutdated |= members.remove(host) != null;
        vanishedSince.remove(host);
    }

    /**
     * Removes the nodes whose entries have not come back; returns whether there were any.
     *
     * @param heard whether a node was heard of late; such a node lives, whatever the store says
     */
    boolean removeVanished(long now, Predicate<HostId> heard) {
        List<HostId> gone = new ArrayList<>();
        vanishedSince.forEach((host, since) -> {
            if (now - since > REMOVAL_DELAY_MILLIS && !heard.test(host)) {
                gone.add(host);
            }
        });
        gone.forEach(this::removeMember);
        rebuildTables();
        return !gone.isEmpty();
    }

    /** Returns the nodes without an entry in the store that have not been forgotten yet. */
    Set<HostId> vanishedHosts() {
        return Set.copyOf(vanishedSince.keySet());
    }

    /** Returns what has changed since a version of this directory; everything since version 0. */
    Update changesSince(long known) {
        List<KeyValueStore.Change> changes = new ArrayList<>();
        boolean whole = known <= 0 || known > version;
        if (whole) {
            items.forEach((key, item) -> changes.add(new KeyValueStore.Change(key, Optional.of(item))));
        } else if (known < version) {
            changedAtVersion.forEach((key, at) -> {
                if (at > known) {
                    changes.add(new KeyValueStore.Change(key, Optional.ofNullable(items.get(key))));
                }
            });
        }
        return new Update(version, whole, changes);
    }

    /** Makes the tables of nodes anew if members have changed. */
    private void rebuildTables() {
        if (!tablesOutdated) {
            return;
        }
        tablesOutdated = false;
        Map<HostId, Member> next = new HashMap<>(members);
        next.remove(self);
        if (!next.equals(others)) {
            others = Map.copyOf(next);
            Map<HostId, ZoneId> all = new HashMap<>();
            others.forEach((host, member) -> all.put(host, member.zone()));
            all.put(self, zone);
            zoneByHost = Map.copyOf(all);
            delegates.clear();
        }
    }
}
