package org.trefoilledge.configstore;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.stream.Collectors;
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

/** Turns the TOML of an inventory into an {@link Inventory}, and refuses the first mistake with its position. */
final class InventoryParser {
    private static final int MAX_SLOTS = 100_000;
    private static final int MAX_CONNECTIONS = 1_000_000;

    /** Rates and bursts are counted in micro-tokens in a {@code long}; this bound leaves room for sums. */
    private static final double MAX_RATE_PER_SECOND = 1e9;

    private static final double MIN_RATE_PER_SECOND = 0.001;
    private static final String NAME =
            "1 to 64 lower-case letters, digits, dots and hyphens, starting and ending with a letter or digit";

    private final TomlReader reader;
    private final TreeMap<ServiceId, Service> services = new TreeMap<>();
    private final TreeMap<OrganisationId, Organisation> organisations = new TreeMap<>();
    private final TreeMap<RouteId, Route> routes = new TreeMap<>();
    private final Set<OrganisationId> withoutKeyList = new HashSet<>();
    private final Map<KeyDigest, OrganisationId> keyOwners = new HashMap<>();
    private final Map<String, RouteId> routePaths = new HashMap<>();

    InventoryParser(TomlReader reader) {
        this.reader = reader;
    }

    InventoryFile parse() throws SettingsException {
        String deployment = id(reader, "deployment", ZoneId::new).value();
        List<ZoneId> zones = zones();
        for (TomlReader table : reader.sections("service")) {
            service(table);
        }
        for (TomlReader table : reader.sections("organisation")) {
            organisation(table);
        }
        for (TomlReader table : reader.sections("route")) {
            route(table);
        }
        Rules rules = rules(reader.section("rules"));
        reader.finish();
        Inventory inventory = new Inventory(deployment, zones, services, organisations, routes, new TreeSet<>(), rules);
        if (!inventory.problems().isEmpty()) {
            throw reader.error(inventory.problems().get(0));
        }
        return new InventoryFile(inventory, withoutKeyList);
    }

    private List<ZoneId> zones() throws SettingsException {
        List<ZoneId> zones = new ArrayList<>();
        for (String name : reader.texts("zones")) {
            ZoneId zone = named(reader, "zones", name, ZoneId::new);
            if (zones.contains(zone)) {
                throw reader.errorAt("zones", "expected each zone only once, but found twice: " + zone);
            }
            zones.add(zone);
        }
        if (zones.isEmpty()) {
            throw reader.errorAt("zones", "expected a list of at least one zone");
        }
        return zones;
    }

    private void service(TomlReader table) throws SettingsException {
        ServiceId id = id(table, "id", ServiceId::new);
        int slots = (int) table.integer("slots", 1, MAX_SLOTS);
        int connections = (int) table.integer("connections", 1, MAX_CONNECTIONS);
        if (services.putIfAbsent(id, new Service(id, slots, connections)) != null) {
            throw duplicate(table, "service");
        }
    }

    private void organisation(TomlReader table) throws SettingsException {
        OrganisationId id = id(table, "id", OrganisationId::new);
        double rate = amount(table, "rate", MIN_RATE_PER_SECOND);
        double burst = amount(table, "burst", 1);
        if (organisations.putIfAbsent(id, new Organisation(id, rate, burst, keys(table, id))) != null) {
            throw duplicate(table, "organisation");
        }
        if (!table.keys().contains("key-digests")) {
            withoutKeyList.add(id);
        }
    }

    private static double amount(TomlReader table, String key, double least) throws SettingsException {
        double amount = table.number(key, least, MAX_RATE_PER_SECOND);
        if (Double.isNaN(amount)) {
            throw table.error(key, "a number from " + least + " to " + MAX_RATE_PER_SECOND);
        }
        return amount;
    }

    /** Reads digests. Errors give no value, because an operator may have pasted a key instead of its digest. */
    private List<KeyDigest> keys(TomlReader table, OrganisationId owner) throws SettingsException {
        List<KeyDigest> keys = new ArrayList<>();
        for (String text : digests(table)) {
            KeyDigest key = digest(table, text, keys.size() + 1);
            OrganisationId other = keyOwners.putIfAbsent(key, owner);
            if (other != null) {
                String listed = "key " + key.abbreviated() + " is listed for " + other + " already";
                throw table.errorAt("key-digests", "expected each key only once, but " + listed);
            }
            keys.add(key);
        }
        return keys;
    }

    private static List<String> digests(TomlReader table) throws SettingsException {
        try {
            return table.texts("key-digests");
        } catch (SettingsException e) {
            throw table.errorAt("key-digests", "expected a list of SHA-256 digests");
        }
    }

    private static KeyDigest digest(TomlReader table, String text, int entry) throws SettingsException {
        try {
            return new KeyDigest(text);
        } catch (IllegalArgumentException e) {
            String expected = "expected SHA-256 digests of 64 lower-case hexadecimal digits; entry " + entry;
            throw table.errorAt("key-digests", expected + " is none");
        }
    }

    private void route(TomlReader table) throws SettingsException {
        RouteId id = id(table, "id", RouteId::new);
        String method = table.text("method");
        if (!method.matches("[A-Z]{1,16}")) {
            throw table.error("method", "an HTTP method in upper case");
        }
        Route route = route(table, id, method);
        if (!services.containsKey(route.service())) {
            throw table.error("service", "the id of a [[service]] of this file");
        }
        if (routes.putIfAbsent(id, route) != null) {
            throw duplicate(table, "route");
        }
        RouteId other = routePaths.putIfAbsent(method + " " + route.path(), id);
        if (other != null) {
            throw table.error("path", "a method and path that route " + other + " does not have");
        }
    }

    private static Route route(TomlReader table, RouteId id, String method) throws SettingsException {
        boolean open = table.flag("open", false);
        boolean internal = table.flag("internal", false);
        if (open && internal) {
            throw table.error("internal", "false on an open route");
        }
        ServiceId service = id(table, "service", ServiceId::new);
        Importance importance = importance(table);
        boolean idempotent = table.flag("idempotent", false);
        String path = table.text("path");
        try {
            return new Route(id, method, path, service, importance, idempotent, open, internal);
        } catch (IllegalArgumentException e) {
            throw table.errorAt("path", "expected a valid path: " + e.getMessage());
        }
    }

    private static Importance importance(TomlReader table) throws SettingsException {
        String text = table.text("importance");
        for (Importance importance : Importance.values()) {
            if (name(importance).equals(text)) {
                return importance;
            }
        }
        String names =
                Arrays.stream(Importance.values()).map(InventoryParser::name).collect(Collectors.joining(", "));
        throw table.error("importance", "one of " + names);
    }

    private static String name(Importance importance) {
        return importance.name().toLowerCase(Locale.ROOT);
    }

    private static Rules rules(TomlReader table) throws SettingsException {
        Rules otherwise = Rules.DEFAULT;
        return new Rules(
                (int) table.integer("attempt-budget", 0, 100, otherwise.attemptBudget()),
                table.integer("repeat-horizon-ms", 1_000, 86_400_000, otherwise.repeatHorizonMillis()),
                table.integer("default-deadline-ms", 1, 600_000, otherwise.defaultDeadlineMillis()),
                (int) table.integer("shards-per-zone", 1, 256, otherwise.shardsPerZone()));
    }

    private static <T> T id(TomlReader table, String key, Function<String, T> parse) throws SettingsException {
        return named(table, key, table.text(key), parse);
    }

    private static <T> T named(TomlReader table, String key, String text, Function<String, T> parse)
            throws SettingsException {
        try {
            return parse.apply(text);
        } catch (IllegalArgumentException e) {
            throw table.error(key, NAME);
        }
    }

    private static SettingsException duplicate(TomlReader table, String what) {
        return table.error("id", "an id that no other " + what + " has");
    }
}
