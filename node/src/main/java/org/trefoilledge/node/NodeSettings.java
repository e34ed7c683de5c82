package org.trefoilledge.node;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import org.trefoilledge.configstore.SettingsException;
import org.trefoilledge.configstore.TomlReader;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.ZoneId;

/**
 * The checked settings of a node process.
 *
 * @param callers address for callers
 * @param local address for the upstream on this host
 * @param peers address for other nodes
 * @param operators address for metrics, status and explanations
 * @param storeEndpoints base URLs of the platform's store
 * @param seeds peer addresses of nodes to contact at the start
 */
public record NodeSettings(
        HostId host,
        ZoneId zone,
        String deployment,
        InetSocketAddress callers,
        InetSocketAddress local,
        InetSocketAddress peers,
        InetSocketAddress operators,
        List<String> storeEndpoints,
        List<String> seeds,
        String logFormat,
        Limits limits,
        Policy policy,
        boolean faultsEnabled) {

    /**
     * Bounds of the node.
     *
     * @param maxBodyBytes largest body of a request or response
     * @param drainTimeoutMillis how long a planned stop waits for running calls
     * @param isolatedGraceMillis how long a node that hears neither the store nor most zones still accepts keys; -1
     *     for ever
     */
    public record Limits(int maxBodyBytes, long drainTimeoutMillis, long isolatedGraceMillis) {}

    /** Switches of the mechanisms, so that each can be measured against a run without it. */
    public record Policy(
            boolean guard,
            boolean adaptiveLimit,
            boolean shedding,
            boolean fairness,
            boolean loans,
            boolean twoChoices,
            boolean ejection,
            boolean retryBudget) {
        /** All mechanisms switched on. */
        public static final Policy ALL = new Policy(true, true, true, true, true, true, true, true);
    }

    /**
     * Reads a settings file.
     *
     * @throws SettingsException naming file, line, column and what was expected
     */
    public static NodeSettings read(Path file) throws SettingsException {
        return from(TomlReader.read(file));
    }

    static NodeSettings from(TomlReader toml) throws SettingsException {
        TomlReader listen = toml.section("listen");
        TomlReader log = toml.section("log");
        NodeSettings settings = new NodeSettings(
                name(toml, "host", HostId::new),
                name(toml, "zone", ZoneId::new),
                toml.text("deployment"),
                listen.address("callers"),
                listen.address("local"),
                listen.address("peers"),
                listen.address("operators"),
                endpoints(toml.section("store")),
                toml.section("peers").texts("seeds"),
                oneOf(log, "format", "text", List.of("text", "json")),
                limits(toml.section("limits")),
                policy(toml.section("policy")),
                toml.section("faults").flag("enabled", false));
        toml.finish();
        return settings;
    }

    private static Limits limits(TomlReader toml) throws SettingsException {
        return new Limits(
                (int) toml.integer("max-body-bytes", 1024, 1L << 24, 1L << 20),
                toml.integer("drain-timeout-ms", 0, 600_000, 30_000),
                toml.integer("isolated-grace-ms", -1, 86_400_000, 10_000));
    }

    private static Policy policy(TomlReader toml) throws SettingsException {
        return new Policy(
                toml.flag("guard", true),
                toml.flag("adaptive-limit", true),
                toml.flag("shedding", true),
                toml.flag("fairness", true),
                toml.flag("loans", true),
                toml.flag("two-choices", true),
                toml.flag("ejection", true),
                toml.flag("retry-budget", true));
    }

    private static List<String> endpoints(TomlReader store) throws SettingsException {
        List<String> endpoints = store.texts("endpoints");
        for (String endpoint : endpoints) {
            if (!endpoint.matches("https?://[^/\\s]+")) {
                throw store.error("endpoints", "base URLs such as http://127.0.0.1:2379");
            }
        }
        return endpoints;
    }

    private static String oneOf(TomlReader toml, String key, String otherwise, List<String> allowed)
            throws SettingsException {
        String value = toml.text(key, otherwise);
        if (!allowed.contains(value)) {
            throw toml.error(key, "one of " + String.join(", ", allowed));
        }
        return value;
    }

    private static <T> T name(TomlReader toml, String key, java.util.function.Function<String, T> parse)
            throws SettingsException {
        String value = toml.text(key);
        try {
            return parse.apply(value);
        } catch (IllegalArgumentException e) {
            throw toml.error(key, "1 to 64 lower-case letters, digits, dots and hyphens");
        }
    }
}
