package org.trefoilledge.node;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.trefoilledge.core.config.Route;

/** Finds the route of a method and path: an exact path first, then the longest prefix. HEAD falls back to GET. */
final class RouteTable {
    private final Map<String, Route> exact = new HashMap<>();
    private final Map<String, List<Route>> prefixes = new HashMap<>();

    RouteTable(Collection<Route> routes) {
        for (Route route : routes) {
            if (route.matchesPrefix()) {
                prefixes.computeIfAbsent(route.method(), m -> new ArrayList<>()).add(route);
            } else {
                exact.put(route.method() + " " + route.path(), route);
            }
        }
        prefixes.values()
                .forEach(list -> list.sort(
                        Comparator.comparingInt((Route r) -> r.path().length()).reversed()));
    }

    Optional<Route> find(String method, String path) {
        Route route = exact.get(method + " " + path);
        if (route == null) {
            route = longestPrefix(method, path);
        }
        if (route == null && method.equals("HEAD")) {
            return find("GET", path);
        }
        return Optional.ofNullable(route);
    }

    private Route longestPrefix(String method, String path) {
        for (Route route : prefixes.getOrDefault(method, List.of())) {
            if (path.startsWith(route.path().substring(0, route.path().length() - 1))) {
                return route;
            }
        }
        return null;
    }
}
