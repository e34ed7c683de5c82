package org.trefoilledge.core.config;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.function.Function;
import org.trefoilledge.core.HostId;

/** Computes the changes that turn one inventory into another. */
public final class InventoryDiff {
    private final Inventory from;
    private final Inventory to;
    private final List<Change> changes = new ArrayList<>();

    private InventoryDiff(Inventory from, Inventory to) {
        this.from = from;
        this.to = to;
    }

    /**
     * Returns the changes that turn {@code from} into {@code to}; empty if they are equal. The order of the keys of an
     * organisation is ignored. If only the keys of an organisation differ, the changes are grants and withdrawals of
     * single keys, so that concurrent changes of other keys are preserved.
     */
    public static List<Change> changes(Inventory from, Inventory to) {
        InventoryDiff diff = new InventoryDiff(from, to);
        diff.diffDeployment();
        diff.addRemovals(from.routes(), to.routes(), Change.RemoveRoute::new);
        diff.addPuts(from.services(), to.services(), Change.PutService::new);
        diff.addPuts(from.routes(), to.routes(), Change.PutRoute::new);
        diff.addRemovals(from.services(), to.services(), Change.RemoveService::new);
        diff.diffOrganisations();
        diff.diffDrainedHosts();
        return List.copyOf(diff.changes);
    }

    /**
     * Returns an error message if the change is forbidden, because it affects the name, the zones or the shards per
     * zone of a deployment, which are fixed by the first revision; empty if the change is allowed.
     */
    public static Optional<String> forbiddenChange(Inventory from, Inventory to) {
        if (from.zones().isEmpty()) {
            return Optional.empty();
        }
        if (!from.deployment().equals(to.deployment())) {
            return Optional.of("this store holds the deployment " + from.deployment() + ", not " + to.deployment());
        }
        if (!from.zones().equals(to.zones())) {
            return Optional.of("zones cannot change after the first revision, because the home zone of a request id"
                    + " and the shares of every limit follow from them: " + from.zones() + " is in force, "
                    + to.zones() + " was asked for");
        }
        int before = from.rules().shardsPerZone();
        int after = to.rules().shardsPerZone();
        if (before != after) {
            return Optional.of("shards-per-zone cannot change after the first revision, because the arbiter of a"
                    + " request id follows from it: " + before + " is in force, " + after + " was asked for");
        }
        return Optional.empty();
    }

    private void diffDeployment() {
        if (!from.deployment().equals(to.deployment()) || !from.zones().equals(to.zones())) {
            changes.add(new Change.SetDeployment(to.deployment(), to.zones()));
        }
        if (!from.rules().equals(to.rules())) {
            changes.add(new Change.SetRules(to.rules()));
        }
    }

    private <K, V> void addPuts(SortedMap<K, V> before, SortedMap<K, V> after, Function<V, Change> change) {
        after.forEach((id, value) -> {
            if (!value.equals(before.get(id))) {
                changes.add(change.apply(value));
            }
        });
    }

    private <K, V> void addRemovals(SortedMap<K, V> before, SortedMap<K, V> after, Function<K, Change> change) {
        before.keySet().stream()
                .filter(id -> !after.containsKey(id))
                .map(change)
                .forEach(changes::add);
    }

    /** Adds withdrawals before grants, because a withdrawal removes the key from every organisation. */
    private void diffOrganisations() {
        withdrawnKeys(from, to).forEach(key -> changes.add(new Change.WithdrawKey(key)));
        addRemovals(from.organisations(), to.organisations(), Change.RemoveOrganisation::new);
        for (Organisation after : to.organisations().values()) {
            Organisation before = from.organisations().get(after.id());
            if (before == null || !sameLimits(before, after)) {
                changes.add(new Change.PutOrganisation(after));
            }
        }
        for (Organisation after : to.organisations().values()) {
            Organisation before = from.organisations().get(after.id());
            if (before != null && sameLimits(before, after)) {
                missingKeys(before, after).forEach(key -> changes.add(new Change.GrantKey(after.id(), key)));
            }
        }
    }

    private static List<KeyDigest> withdrawnKeys(Inventory from, Inventory to) {
        List<KeyDigest> withdrawn = new ArrayList<>();
        for (Organisation before : from.organisations().values()) {
            Organisation after = to.organisations().get(before.id());
            if (after != null && sameLimits(before, after)) {
                withdrawn.addAll(missingKeys(after, before));
            }
        }
        return withdrawn;
    }

    private static boolean sameLimits(Organisation one, Organisation other) {
        return one.rate() == other.rate() && one.burst() == other.burst();
    }

    private static List<KeyDigest> missingKeys(Organisation in, Organisation from) {
        Set<KeyDigest> present = new HashSet<>(in.keys());
        return from.keys().stream().filter(key -> !present.contains(key)).toList();
    }

    private void diffDrainedHosts() {
        for (HostId host : to.drainedHosts()) {
            if (!from.drainedHosts().contains(host)) {
                changes.add(new Change.DrainHost(host));
            }
        }
        for (HostId host : from.drainedHosts()) {
            if (!to.drainedHosts().contains(host)) {
                changes.add(new Change.UndrainHost(host));
            }
        }
    }
}
