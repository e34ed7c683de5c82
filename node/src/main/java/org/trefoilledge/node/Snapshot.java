package org.trefoilledge.node;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.trefoilledge.core.OrganisationId;
import org.trefoilledge.core.config.Inventory;
import org.trefoilledge.core.config.KeyDigest;
import org.trefoilledge.core.config.Organisation;

/** The configuration in force, indexed for the request path. Immutable; the control thread publishes a new one. */
final class Snapshot {
    private final long revision;
    private final Inventory inventory;
    private final RouteTable routes;
    private final Map<KeyDigest, OrganisationId> keys = new HashMap<>();

    Snapshot(long revision, Inventory inventory) {
        this.revision = revision;
        this.inventory = inventory;
        this.routes = new RouteTable(inventory.routes().values());
        for (Organisation organisation : inventory.organisations().values()) {
            organisation.keys().forEach(key -> keys.put(key, organisation.id()));
        }
    }

    long revision() {
        return revision;
    }

    Inventory inventory() {
        return inventory;
    }

    RouteTable routes() {
        return routes;
    }

    Optional<OrganisationId> organisation(KeyDigest key) {
        return Optional.ofNullable(keys.get(key));
    }
}
