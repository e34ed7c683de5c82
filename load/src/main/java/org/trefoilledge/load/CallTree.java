package org.trefoilledge.load;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.trefoilledge.core.config.Inventory;
import org.trefoilledge.core.config.Route;

/** Computes the executions that a root request needs without retries: its own and those of its child calls. */
final class CallTree {
    /** Nodes refuse calls at a greater depth. */
    private static final int MAX_DEPTH = 7;

    private final Inventory inventory;
    private final DeploymentSettings settings;

    CallTree(Inventory inventory, DeploymentSettings settings) {
        this.inventory = inventory;
        this.settings = settings;
    }

    /** Returns the total executions required by the root requests that were answered whole. */
    long requiredExecutions(List<RootRequest> roots, List<CallerGroup> groups) {
        Map<String, Integer> sizes = new HashMap<>();
        groups.forEach(group ->
                group.mix().forEach(route -> sizes.put(route.id(), executions(route.method(), route.path(), 1))));
        return roots.stream()
                .filter(RootRequest::whole)
                .mapToLong(root -> sizes.getOrDefault(root.routeId(), 1))
                .sum();
    }

    /** Returns the executions of a request of the given depth; 0 if no route matches or it is too deep. */
    int executions(String method, String path, int depth) {
        Optional<Route> route = findRoute(method, path);
        if (route.isEmpty() || depth > MAX_DEPTH) {
            return 0;
        }
        int sum = 1;
        for (String call : settings.upstream(route.get().service().value()).calls()) {
            String[] parts = call.split(" ", 2);
            sum += executions(parts[0], parts[1], depth + 1);
        }
        return sum;
    }

    private Optional<Route> findRoute(String method, String path) {
        return inventory.routes().values().stream()
                .filter(route -> route.method().equals(method) && matches(route, path))
                .max(java.util.Comparator.comparingInt(route -> route.path().length()));
    }

    private static boolean matches(Route route, String path) {
        String prefix = route.path().substring(0, route.path().length() - 1);
        return route.matchesPrefix() ? path.startsWith(prefix) : path.equals(route.path());
    }
}
