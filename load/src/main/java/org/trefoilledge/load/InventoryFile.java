package org.trefoilledge.load;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import org.trefoilledge.core.Importance;
import org.trefoilledge.core.OrganisationId;
import org.trefoilledge.core.RouteId;
import org.trefoilledge.core.ServiceId;
import org.trefoilledge.core.ZoneId;
import org.trefoilledge.core.config.Inventory;
import org.trefoilledge.core.config.KeyDigest;
import org.trefoilledge.core.config.Organisation;
import org.trefoilledge.core.config.Route;
import org.trefoilledge.core.config.Rules;
import org.trefoilledge.core.config.Service;
import org.trefoilledge.platform.SettingsException;
import org.trefoilledge.platform.TomlReader;

/** Reads an inventory, scales its limits and grants the keys that the load tool's callers present. */
final class InventoryFile {
    private static final double MAX = 1e9;

    private InventoryFile() {}

    /** Returns the key that the tool's callers of an organisation present. */
    static String key(String organisation) {
        return "load-key-of-" + organisation;
    }

    static Inventory read(Path path) throws SettingsException {
        TomlReader file = TomlReader.read(path);
        List<ZoneId> zones = file.texts("zones").stream().map(ZoneId::new).toList();
        return new Inventory(
                file.text("deployment"),
                zones,
                services(file),
                organisations(file),
                routes(file),
                new TreeSet<>(),
                rules(file.section("rules")));
    }

    private static TreeMap<ServiceId, Service> services(TomlReader file) throws SettingsException {
        TreeMap<ServiceId, Service> services = new TreeMap<>();
        for (TomlReader entry : file.sections("service")) {
            ServiceId id = new ServiceId(entry.text("id"));
            services.put(id, new Service(id, (int) entry.integer("slots", 1, 100_000), (int)
                    entry.integer("connections", 1, 1_000_000)));
        }
        return services;
    }

    private static TreeMap<OrganisationId, Organisation> organisations(TomlReader file) throws SettingsException {
        TreeMap<OrganisationId, Organisation> organisations = new TreeMap<>();
        for (TomlReader entry : file.sections("organisation")) {
            OrganisationId id = new OrganisationId(entry.text("id"));
            List<KeyDigest> keys =
                    entry.texts("key-digests").stream().map(KeyDigest::new).toList();
            organisations.put(
                    id, new Organisation(id, entry.number("rate", 0, MAX), entry.number("burst", 0, MAX), keys));
        }
        return organisations;
    }

    private static TreeMap<RouteId, Route> routes(TomlReader file) throws SettingsException {
        TreeMap<RouteId, Route> routes = new TreeMap<>();
        for (TomlReader entry : file.sections("route")) {
            RouteId id = new RouteId(entry.text("id"));
            String importance = entry.text("importance", "normal").toUpperCase(Locale.ROOT);
            routes.put(
                    id,
                    new Route(
                            id,
                            entry.text("method"),
                            entry.text("path"),
                            new ServiceId(entry.text("service")),
                            Importance.valueOf(importance),
                            entry.flag("idempotent", true),
                            entry.flag("open", false),
                            entry.flag("internal", false)));
        }
        return routes;
    }

    private static Rules rules(TomlReader section) throws SettingsException {
        Rules d = Rules.DEFAULT;
        return new Rules(
                (int) section.integer("attempt-budget", 0, 100, d.attemptBudget()),
                section.integer("repeat-horizon-ms", 1_000, 86_400_000, d.repeatHorizonMillis()),
                section.integer("default-deadline-ms", 1, 600_000, d.defaultDeadlineMillis()),
                (int) section.integer("shards-per-zone", 1, 256, d.shardsPerZone()));
    }

    /** Returns a copy with rates and bursts multiplied, to which the tool's keys are granted. */
    static Inventory forLoad(Inventory inventory, double rateFactor) {
        TreeMap<OrganisationId, Organisation> organisations = new TreeMap<>();
        inventory.organisations().forEach((id, old) -> {
            double rate = old.rate() * rateFactor;
            double burst = Math.max(1, Math.round(old.burst() * rateFactor));
            organisations.put(
                    id, new Organisation(id, rate, burst, old.keys()).withKey(KeyDigest.of(key(id.value()))));
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
            table(text, "service", Map.of("id", quoted(service.id()), "slots", service.slots(), "connections",
                    service.connections()));
        }
        for (Organisation o : inventory.organisations().values()) {
            table(text, "organisation", Map.of("id", quoted(o.id()), "rate", o.rate(), "burst", Math.round(o.burst()),
                    "key-digests", quoted(o.keys())));
        }
        inventory.routes().values().forEach(route -> table(text, "route", routeKeys(route)));
        Rules rules = inventory.rules();
        text.append("\n[rules]\n");
        keys(text, Map.of("attempt-budget", rules.attemptBudget(), "repeat-horizon-ms", rules.repeatHorizonMillis(),
                "default-deadline-ms", rules.defaultDeadlineMillis(), "shards-per-zone", rules.shardsPerZone()));
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
        new TreeMap<>(keys).forEach((key, value) ->
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
