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
        text.append("deployment = ").append(quote(inventory.deployment())).append('\n');
        text.append("zones = ").append(quote(inventory.zones())).append('\n');
        for (Service service : inventory.services().values()) {
            appendTable(
                    text,
                    "service",
                    Map.of("id", quote(service.id()), "slots", service.slots(), "connections", service.connections()));
        }
        for (Organisation o : inventory.organisations().values()) {
            appendTable(
                    text,
                    "organisation",
                    Map.of(
                            "id",
                            quote(o.id()),
                            "rate",
                            o.rate(),
                            "burst",
                            Math.round(o.burst()),
                            "key-digests",
                            quote(o.keys())));
        }
        inventory.routes().values().forEach(route -> appendTable(text, "route", routeKeys(route)));
        Rules rules = inventory.rules();
        text.append("\n[rules]\n");
        appendKeys(
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
        keys.put("id", quote(route.id()));
        keys.put("method", quote(route.method()));
        keys.put("path", quote(route.path()));
        keys.put("service", quote(route.service()));
        keys.put("importance", quote(route.importance().name().toLowerCase(Locale.ROOT)));
        keys.put("idempotent", route.idempotent());
        keys.put("open", route.open());
        keys.put("internal", route.internal());
        return keys;
    }

    private static void appendTable(StringBuilder text, String name, Map<String, ?> keys) {
        text.append("\n[[").append(name).append("]]\n");
        appendKeys(text, keys);
    }

    private static void appendKeys(StringBuilder text, Map<String, ?> keys) {
        new TreeMap<>(keys)
                .forEach((key, value) ->
                        text.append(key).append(" = ").append(value).append('\n'));
    }

    private static String quote(Object value) {
        return '"' + value.toString() + '"';
    }

    private static String quote(List<?> values) {
        List<String> texts = new ArrayList<>();
        values.forEach(value -> texts.add(quote((Object) value)));
        return "[" + String.join(", ", texts) + "]";
    }
}
