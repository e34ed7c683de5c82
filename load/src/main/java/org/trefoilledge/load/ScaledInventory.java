package org.trefoilledge.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.trefoilledge.core.OrganisationId;
import org.trefoilledge.core.config.Inventory;
import org.trefoilledge.core.config.Organisation;
import org.trefoilledge.core.config.Route;
import org.trefoilledge.core.config.Rules;
import org.trefoilledge.core.config.Service;

/** The sample inventory with scaled limits, and the keys that its comments state. */
final class ScaledInventory {
    private static final String KEY_PREFIX = "sample-key-";

    private ScaledInventory() {}

    /** Returns the plain key of an organisation of the sample inventories, which hold only its digest. */
    static String key(String organisation) {
        return KEY_PREFIX + organisation;
    }

    /** Returns a copy with rates and bursts multiplied; a burst stays at least 1. */
    static Inventory scale(Inventory inventory, double rateFactor) {
        TreeMap<OrganisationId, Organisation> organisations = new TreeMap<>();
        inventory.organisations().forEach((id, old) -> {
            double rate = old.rate() * rateFactor;
            double burst = Math.max(1, Math.round(old.burst() * rateFactor));
            organisations.put(id, new Organisation(id, rate, burst, old.keys()));
        });
        return new Inventory(
                inventory.deployment(),
                inventory.zones(),
                inventory.services(),
                organisations,
                inventory.routes(),
                inventory.drainedHosts(),
                inventory.rules());
    }

    static String toml(Inventory inventory) {
        StringBuilder text = new StringBuilder();
        text.append("deployment = ").append(quoted(inventory.deployment())).append('\n');
        text.append("zones = ").append(quoted(inventory.zones())).append('\n');
        for (Service service : inventory.services().values()) {
            table(
                    text,
                    "service",
                    Map.of("id", quoted(service.id()), "slots", service.slots(), "connections", service.connections()));
        }
        for (Organisation o : inventory.organisations().values()) {
            table(
                    text,
                    "organisation",
                    Map.of(
                            "id",
                            quoted(o.id()),
                            "rate",
                            o.rate(),
                            "burst",
                            Math.round(o.burst()),
                            "key-digests",
                            quoted(o.keys())));
        }
        inventory.routes().values().forEach(route -> table(text, "route", routeKeys(route)));
        Rules rules = inventory.rules();
        text.append("\n[rules]\n");
        keys(
                text,
                Map.of(
                        "attempt-budget",
                        rules.attemptBudget(),
                        "repeat-horizon-ms",
                        rules.repeatHorizonMillis(),
                        "default-deadline-ms",
                        rules.defaultDeadlineMillis(),
                        "shards-per-zone",
                        rules.shardsPerZone()));
        return text.toString();
    }

    private static Map<String, Object> routeKeys(Route route) {
        Map<String, Object> keys = new TreeMap<>();
        keys.put("id", quoted(route.id()));
        keys.put("method", quoted(route.method()));
        keys.put("path", quoted(route.path()));
        keys.put("service", quoted(route.service()));
        keys.put("importance", quoted(route.importance().name().toLowerCase(Locale.ROOT)));
        keys.put("idempotent", route.idempotent());
        keys.put("open", route.open());
        keys.put("internal", route.internal());
        return keys;
    }

    private static void table(StringBuilder text, String name, Map<String, ?> keys) {
        text.append("\n[[").append(name).append("]]\n");
        keys(text, keys);
    }

    private static void keys(StringBuilder text, Map<String, ?> keys) {
        new TreeMap<>(keys)
                .forEach((key, value) ->
                        text.append(key).append(" = ").append(value).append('\n'));
    }

    private static String quoted(Object value) {
        return '"' + value.toString() + '"';
    }

    private static String quoted(List<?> values) {
        List<String> texts = new ArrayList<>();
        values.forEach(value -> texts.add(quoted((Object) value)));
        return "[" + String.join(", ", texts) + "]";
    }
}
