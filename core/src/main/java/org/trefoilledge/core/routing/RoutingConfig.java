package org.trefoilledge.core.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.trefoilledge.core.OrganisationId;
import org.trefoilledge.core.RouteId;
import org.trefoilledge.core.ServiceId;

/** One version of the operator's configuration, indexed for lookups. Immutable. */
public final class RoutingConfig {
    private final long version;
    private final CallerLimits callerLimits;
    private final Map<String, List<HostRoute>> routesByHost;
    private final Map<OrganisationId, OrganisationPolicy> organisations;
    private final Map<String, OrganisationPolicy> organisationsByKey;
    private final Map<RouteId, HostRoute> routesById;
    private final Map<ServiceId, ServicePolicy> services;

    /**
     * Creates a configuration without policies of services.
     *
     * @throws IllegalArgumentException if two organisations share a key
     */
    public RoutingConfig(
            long version,
            CallerLimits callerLimits,
            Collection<HostRoute> routes,
            Collection<OrganisationPolicy> organisations) {
        this(version, callerLimits, routes, organisations, List.of());
    }

    /**
     * Creates a configuration.
     *
     * @throws IllegalArgumentException if two organisations share a key
     */
    public RoutingConfig(
            long version,
            CallerLimits callerLimits,
            Collection<HostRoute> routes,
            Collection<OrganisationPolicy> organisations,
            Collection<ServicePolicy> services) {
        this.version = version;
        this.callerLimits = callerLimits;
        this.routesByHost = groupByHost(routes);
        Map<RouteId, HostRoute> byRouteId = new HashMap<>();
        routes.forEach(route -> byRouteId.put(route.id(), route));
        this.routesById = Map.copyOf(byRouteId);
        Map<OrganisationId, OrganisationPolicy> byId = new HashMap<>();
        Map<String, OrganisationPolicy> byKey = new HashMap<>();
        for (OrganisationPolicy organisation : organisations) {
            byId.put(organisation.id(), organisation);
            for (String key : organisation.keys()) {
                if (byKey.put(key, organisation) != null) {
                    throw new IllegalArgumentException("two organisations share a key; one is " + organisation.id());
                }
            }
        }
        this.organisations = Map.copyOf(byId);
        this.organisationsByKey = Map.copyOf(byKey);
        Map<ServiceId, ServicePolicy> byService = new HashMap<>();
        services.forEach(service -> byService.put(service.id(), service));
        this.services = Map.copyOf(byService);
    }

    /** Returns the version, which increases with each change. */
    public long version() {
        return version;
    }

    /** Returns the limits on callers' requests. */
    public CallerLimits callerLimits() {
        return callerLimits;
    }

    /** Returns the route with the given id, if there is one. */
    public Optional<HostRoute> routeById(RouteId id) {
        return Optional.ofNullable(routesById.get(id));
    }

    /** Returns the policy of a service, if there is one. */
    public Optional<ServicePolicy> service(ServiceId id) {
        return Optional.ofNullable(services.get(id));
    }

    /** Returns the organisations by their id. */
    public Map<OrganisationId, OrganisationPolicy> organisations() {
        return organisations;
    }

    /** Returns whether routes that are not open require a key. */
    public boolean requiresKeys() {
        return !organisations.isEmpty();
    }

    /** Returns the organisation to which the key belongs, if there is one. */
    public Optional<OrganisationPolicy> organisationByKey(String key) {
        return Optional.ofNullable(organisationsByKey.get(key));
    }

    /**
     * Returns the route of the host with the longest prefix of the path, if there is one.
     *
     * @param authority host with an optional port, case-insensitive
     */
    public Optional<HostRoute> findRoute(String authority, String path) {
        for (HostRoute route : routesByHost.getOrDefault(hostName(authority), List.of())) {
            if (path.startsWith(route.pathPrefix())) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    /**
     * Returns whether there is a route of the host.
     *
     * @param authority host with an optional port, case-insensitive
     */
    public boolean hasHost(String authority) {
        return routesByHost.containsKey(hostName(authority));
    }

    private static String hostName(String authority) {
        int colon = authority.lastIndexOf(':');
        boolean hasPort = colon >= 0 && authority.indexOf(']', colon) < 0;
        String host = hasPort ? authority.substring(0, colon) : authority;
        return host.toLowerCase(Locale.ROOT);
    }

    private static Map<String, List<HostRoute>> groupByHost(Collection<HostRoute> routes) {
        Map<String, List<HostRoute>> grouped = new HashMap<>();
        for (HostRoute route : routes) {
            grouped.computeIfAbsent(route.host().toLowerCase(Locale.ROOT), host -> new ArrayList<>())
                    .add(route);
        }
        Comparator<HostRoute> longestFirst =
                Comparator.comparingInt(route -> -route.pathPrefix().length());
        grouped.values().forEach(group -> group.sort(longestFirst));
        return Map.copyOf(grouped);
    }
}
