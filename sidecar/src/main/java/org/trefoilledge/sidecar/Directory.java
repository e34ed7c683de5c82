package org.trefoilledge.sidecar;

import com.dynatrace.hash4j.hashing.Hashing;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
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
 * The nodes of the fleet and the claims on rate limits. A node that follows the store reads them there; other nodes
 * receive from it the changes since the version that they already have. A node whose entry disappears from the store is
 * kept for a short time: leases can expire during a store outage, and a running node then writes its entry again. Used on
 * the control thread.
 */
final class Directory {
    private static final Logger LOG = LoggerFactory.getLogger(Directory.class);
    static final String PREFIX = "fleet/";
    static final String NODE_PREFIX = PREFIX + "nodes/";
    static final String CLAIM_PREFIX = PREFIX + "rates/";
    /**
     * Time after which a node without an entry is removed. After a store outage, a running node writes its entry again
     * within two seconds.
     */
    private static final long REMOVAL_DELAY_MILLIS = 2_500;

    /** Two, so that a zone has another delegate at once if the first one fails. */
    private static final int DELEGATES_PER_ZONE = 2;

    private final HostId self;
    private final ZoneId zone;
    private final ClaimListener claimListener;
    private final Map<ZoneId, List<HostId>> delegates = new HashMap<>();
    private final Map<String, KeyValueStore.Item> items = new TreeMap<>();
    private final Map<HostId, Member> members = new HashMap<>();
    private final Map<HostId, Long> vanishedSince = new HashMap<>();
    /** The version at which each key last changed. */
    private final Map<String, Long> changedAtVersion = new HashMap<>();

    private Map<HostId, Member> others = Map.of();
    private Map<HostId, ZoneId> zoneByHost;
    private long version;
    private boolean complete;
    /** Whether the claims are to be reported again with the next listing, because the store was restored. */
    private boolean claimsOutdated;

    /** Whether the members have changed since {@code others} and {@code zoneByHost} were built. */
    private boolean tablesOutdated;

    /** Called for each claim that changes; the item is empty if the claim was removed. */
    @FunctionalInterface
    interface ClaimListener {
        void onClaimChanged(String name, Optional<KeyValueStore.Item> item);
    }

    /**
     * The changes of a directory since an earlier version.
     *
     * @param version the sender's current version
     * @param full whether the changes hold the complete directory, which replaces that of the receiver
     */
    record Update(long version, boolean full, List<KeyValueStore.Change> changes) {}

    Directory(HostId self, ZoneId zone, ClaimListener claimListener) {
        this.self = self;
        this.zone = zone;
        this.zoneByHost = Map.of(self, zone);
        this.claimListener = claimListener;
    }

    /**
     * Returns an id for the directory versions of one run of a node. Versions with different ids cannot be compared. The
     * host is part of the id, because two nodes can start at the same time.
     */
    static long versionSource(HostId host, Incarnation incarnation) {
        return Hashing.xxh3_64().hashCharsToLong(host + "#" + incarnation.value());
    }

    /** Returns an immutable map of the other nodes. */
    Map<HostId, Member> others() {
        return others;
    }

    /** Returns whether a complete list of the nodes was received since this node started. */
    boolean complete() {
        return complete;
    }

    /** Returns the zone of each node, including this one. */
    Map<HostId, ZoneId> zoneByHost() {
        return zoneByHost;
    }

    /** Returns the nodes that act for a zone, in order of preference. */
    List<HostId> delegates(ZoneId ofZone) {
        return delegates.computeIfAbsent(ofZone, each -> ZoneDelegates.of(each, zoneByHost, DELEGATES_PER_ZONE));
    }

    /** Reports all claims again with the next complete listing, because the revisions of a restored store differ. */
    void onRestore() {
        claimsOutdated = true;
    }

    /** Applies a complete listing of the store. Nodes that are missing are removed only after a delay. */
    void applyStoreListing(Collection<KeyValueStore.Item> all, long now) {
        replaceItems(all, Optional.of(now));
    }

    /** Applies changes from the store. Nodes whose entry is removed are removed only after a delay. */
    void applyStoreChanges(List<KeyValueStore.Change> changes, long now) {
        changes.forEach(change -> applyChange(change, Optional.of(now)));
        rebuildTables();
    }

    /** Applies an update from the zone's collector, which has already waited; nodes are removed at once. */
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

    private void replaceItems(Collection<KeyValueStore.Item> all, Optional<Long> missingSince) {
        Set<String> missing = new HashSet<>(items.keySet());
        for (KeyValueStore.Item item : all) {
            missing.remove(item.key());
            applyChange(new KeyValueStore.Change(item.key(), Optional.of(item)), missingSince);
        }
        claimsOutdated = false;
        missing.forEach(key -> applyChange(new KeyValueStore.Change(key, Optional.empty()), missingSince));
        complete = true;
        rebuildTables();
    }

    private void applyChange(KeyValueStore.Change change, Optional<Long> missingSince) {
        if (change.key().startsWith(CLAIM_PREFIX)) {
            if (recordChange(change) || claimsOutdated) {
                claimListener.onClaimChanged(change.key().substring(CLAIM_PREFIX.length()), change.item());
            }
        } else if (change.key().startsWith(NODE_PREFIX)) {
            applyNodeChange(change, missingSince);
        }
    }

    /** A removed node is kept as missing since the given time, or removed at once if no time is given. */
    private void applyNodeChange(KeyValueStore.Change change, Optional<Long> missingSince) {
        HostId host;
        try {
            host = new HostId(change.key().substring(NODE_PREFIX.length()));
        } catch (IllegalArgumentException e) {
            LOG.warn("directory: ignored an entry with the invalid key {}", change.key());
            return;
        }
        if (change.item().isEmpty()) {
            if (missingSince.isPresent() && members.containsKey(host)) {
                vanishedSince.putIfAbsent(host, missingSince.get());
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
            Member member = Member.parse(change.item().get().value());
            if (!member.host().equals(host)) {
                throw new IOException("it names the host " + member.host());
            }
            members.put(host, member);
            tablesOutdated = true;
        } catch (IOException e) {
            LOG.warn("directory: ignored the entry of {}: {}", host, e.getMessage());
        }
    }

    /** Records a change under a new version; returns whether the item differs from the recorded one. */
    private boolean recordChange(KeyValueStore.Change change) {
        KeyValueStore.Item recorded = items.get(change.key());
        if (change.item().isEmpty()) {
            if (recorded == null) {
                return false;
            }
            items.remove(change.key());
        } else {
            KeyValueStore.Item item = change.item().get();
            // A restored store issues revisions again, so that the same revision can have another value.
            if (recorded != null
                    && recorded.revision() == item.revision()
                    && Arrays.equals(recorded.value(), item.value())) {
                return false;
            }
            items.put(change.key(), item);
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
     * Removes the nodes whose entries have been missing for too long; returns whether there were any.
     *
     * @param heard whether a node has reported recently; such a node is running and is kept without an entry
     */
    boolean removeVanished(long now, Predicate<HostId> heard) {
        List<HostId> expired = new ArrayList<>();
        vanishedSince.forEach((host, since) -> {
            if (now - since > REMOVAL_DELAY_MILLIS && !heard.test(host)) {
                expired.add(host);
            }
        });
        expired.forEach(this::removeMember);
        rebuildTables();
        return !expired.isEmpty();
    }

    /** Returns the nodes without an entry in the store that have not been removed yet. */
    Set<HostId> vanishedHosts() {
        return Set.copyOf(vanishedSince.keySet());
    }

    /** Returns the changes since a version of this directory; for version 0 or an unknown one, the whole directory. */
    Update changesSince(long sinceVersion) {
        List<KeyValueStore.Change> changes = new ArrayList<>();
        boolean full = sinceVersion <= 0 || sinceVersion > version;
        if (full) {
            items.forEach((key, item) -> changes.add(new KeyValueStore.Change(key, Optional.of(item))));
        } else if (sinceVersion < version) {
            changedAtVersion.forEach((key, at) -> {
                if (at > sinceVersion) {
                    changes.add(new KeyValueStore.Change(key, Optional.ofNullable(items.get(key))));
                }
            });
        }
        return new Update(version, full, changes);
    }

    /** Rebuilds the maps of nodes if the members have changed. */
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
