package org.trefoilledge.core.config;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.OrganisationId;
import org.trefoilledge.core.RouteId;
import org.trefoilledge.core.ServiceId;
import org.trefoilledge.core.ZoneId;

/**
 * The whole configuration at one revision. Immutable. The zones never change after the first revision, because the home
 * zone of an id and the shares of a limit are derived from them.
 */
public record Inventory(
        String deployment,
        List<ZoneId> zones,
        SortedMap<ServiceId, Service> services,
        SortedMap<OrganisationId, Organisation> organisations,
        SortedMap<RouteId, Route> routes,
        SortedSet<HostId> drainedHosts,
        Rules rules) {
    /** The configuration before the first revision. */
    public static final Inventory EMPTY = new Inventory(
            "", List.of(), new TreeMap<>(), new TreeMap<>(), new TreeMap<>(), new TreeSet<>(), Rules.DEFAULT);

    /** Makes unmodifiable copies of the collections. */
    public Inventory {
        zones = List.copyOf(zones);
        services = java.util.Collections.unmodifiableSortedMap(new TreeMap<>(services));
        organisations = java.util.Collections.unmodifiableSortedMap(new TreeMap<>(organisations));
        routes = java.util.Collections.unmodifiableSortedMap(new TreeMap<>(routes));
        drainedHosts = java.util.Collections.unmodifiableSortedSet(new TreeSet<>(drainedHosts));
    }

    /**
     * Validates this inventory and returns messages for the operator; empty if the inventory is valid.
     */
    public List<String> problems() {
        List<String> problems = new ArrayList<>();
        if (zones.isEmpty()) {
            problems.add("at least one zone is needed");
        }
        if (new HashSet<>(zones).size() != zones.size()) {
            problems.add("a zone is listed twice");
        }
        checkRoutes(problems);
        checkKeys(problems);
        return problems;
    }

    private void checkRoutes(List<String> problems) {
        Map<String, RouteId> seen = new TreeMap<>();
        for (Route route : routes.values()) {
            if (!services.containsKey(route.service())) {
                problems.add("route " + route.id() + " names the unknown service " + route.service());
            }
            RouteId other = seen.putIfAbsent(route.method() + " " + route.path(), route.id());
            if (other != null) {
                problems.add("routes " + other + " and " + route.id() + " have the same method and path");
            }
        }
    }

    private void checkKeys(List<String> problems) {
        Map<String, OrganisationId> seen = new TreeMap<>();
        for (Organisation organisation : organisations.values()) {
            Set<KeyDigest> own = new HashSet<>();
            for (KeyDigest key : organisation.keys()) {
                if (!own.add(key)) {
                    problems.add("organisation " + organisation.id() + " lists key " + key.abbreviated() + " twice");
                }
                OrganisationId other = seen.putIfAbsent(key.hex(), organisation.id());
                if (other != null && !other.equals(organisation.id())) {
                    problems.add(
                            "key " + key.abbreviated() + " is granted to both " + other + " and " + organisation.id());
                }
            }
        }
    }

    /** Returns a copy to which the changes are applied in order. */
    public Inventory with(List<Change> changes) {
        InventoryBuilder builder = new InventoryBuilder(this);
        changes.forEach(builder::apply);
        return builder.build();
    }
}
