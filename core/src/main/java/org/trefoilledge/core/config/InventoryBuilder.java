package org.trefoilledge.core.config;

import java.util.List;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.OrganisationId;
import org.trefoilledge.core.RouteId;
import org.trefoilledge.core.ServiceId;
import org.trefoilledge.core.ZoneId;

/** Applies changes to a mutable copy of an inventory. */
final class InventoryBuilder {
    private String deployment;
    private List<ZoneId> zones;
    private Rules rules;
    private final SortedMap<ServiceId, Service> services;
    private final SortedMap<OrganisationId, Organisation> organisations;
    private final SortedMap<RouteId, Route> routes;
    private final SortedSet<HostId> drainedHosts;

    InventoryBuilder(Inventory base) {
        deployment = base.deployment();
        zones = base.zones();
        rules = base.rules();
        services = new TreeMap<>(base.services());
        organisations = new TreeMap<>(base.organisations());
        routes = new TreeMap<>(base.routes());
        drainedHosts = new TreeSet<>(base.drainedHosts());
    }

    void apply(Change change) {
        if (change instanceof Change.SetDeployment set) {
            deployment = set.deployment();
            zones = set.zones();
        } else if (change instanceof Change.SetRules set) {
            rules = set.rules();
        } else if (change instanceof Change.PutService put) {
            services.put(put.service().id(), put.service());
        } else if (change instanceof Change.RemoveService remove) {
            services.remove(remove.id());
        } else if (change instanceof Change.PutOrganisation put) {
            organisations.put(put.organisation().id(), put.organisation());
        } else if (change instanceof Change.RemoveOrganisation remove) {
            organisations.remove(remove.id());
        } else if (change instanceof Change.GrantKey grant) {
            organisations.computeIfPresent(grant.organisation(), (id, o) -> o.withKey(grant.key()));
        } else if (change instanceof Change.WithdrawKey withdraw) {
            organisations.replaceAll((id, o) -> o.withoutKey(withdraw.key()));
        } else if (change instanceof Change.PutRoute put) {
            routes.put(put.route().id(), put.route());
        } else if (change instanceof Change.RemoveRoute remove) {
            routes.remove(remove.id());
        } else if (change instanceof Change.DrainHost drain) {
            drainedHosts.add(drain.host());
        } else if (change instanceof Change.UndrainHost undrain) {
            drainedHosts.remove(undrain.host());
        }
    }

    Inventory build() {
        return new Inventory(deployment, zones, services, organisations, routes, drainedHosts, rules);
    }
}
