package org.trefoilledge.sidecar;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.trefoilledge.configstore.SettingsException;
import org.trefoilledge.configstore.TomlReader;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.ServiceId;
import org.trefoilledge.core.ZoneId;

/**
 * Validated settings of a sidecar.
 *
 * @param host name of the host that the sidecar runs on
 * @param zone availability zone of the host
 * @param zones all availability zones, including the zone of the host
 * @param service service of the upstream on this host
 * @param upstream address of the upstream on this host
 * @param callers listen address for requests that originate on this host
 * @param ready listen address of the readiness endpoint
 * @param announcements listen address of the endpoint to which the upstream sends its announcements
 * @param peers listen address for other nodes
 * @param operators listen address of the metrics endpoint
 * @param store address of the platform's store
 * @param firstStart whether the whole fleet starts for the first time, so that most nodes are not in the store yet
 * @param logFormat {@code text} or {@code json}
 * @param bounds guaranteed times and ratios
 * @param terms names of the terms that are in force in this deployment, as the platform writes them
 * @param features features that the settings switch on or off, whatever the terms of the deployment
 */
public record SidecarSettings(
        HostId host,
        ZoneId zone,
        List<ZoneId> zones,
        ServiceId service,
        InetSocketAddress upstream,
        InetSocketAddress callers,
        InetSocketAddress ready,
        InetSocketAddress announcements,
        InetSocketAddress peers,
        InetSocketAddress operators,
        InetSocketAddress store,
        boolean firstStart,
        String logFormat,
        Bounds bounds,
        List<String> terms,
        Map<Feature, Boolean> features) {
    private static final long DEFAULT_CONFIG_APPLY_MILLIS = 2_000;

    /** Copies the collections. */
    public SidecarSettings {
        terms = List.copyOf(terms);
        features = Map.copyOf(features);
    }

    /**
     * Times and ratios that operators guarantee to their users.
     *
     * @param stopMillis maximum time from the stop signal to the end of the process
     * @param configApplyMillis maximum time until a change of the configuration is in force on all nodes
     * @param revocationMillis maximum time until a withdrawn key is rejected, also on a node that is partitioned
     * @param heartbeatMillis interval between heartbeats of an upstream
     * @param retryRatio maximum retries to a service as a fraction of its requests
     * @param retrySlack retries to a service allowed per window in addition to the ratio, over all nodes
     * @param limitOver fraction of its limit by which an organisation may exceed it in a window, over all nodes
     * @param limitSlack number of requests by which an organisation may exceed its limit in a window, over all nodes
     * @param limitWindowMillis length of a window
     * @param evacuationMillis maximum time until a zone that operators evacuate gets no more requests; empty if operators
     *     evacuate no zones
     * @param coldRequests requests that a cold upstream may get in one second; empty if it may get any number
     */
    public record Bounds(
            long stopMillis,
            long configApplyMillis,
            long revocationMillis,
            long heartbeatMillis,
            double retryRatio,
            double retrySlack,
            double limitOver,
            double limitSlack,
            long limitWindowMillis,
            OptionalLong evacuationMillis,
            Optional<ColdRequests> coldRequests) {
        /** Returns the longest time for which what operators have written may be outdated on a node. */
        long outdatedMillis() {
            return Math.min(configApplyMillis, Math.min(revocationMillis, evacuationMillis.orElse(Long.MAX_VALUE)));
        }
    }

    /**
     * Bound of the requests that a cold upstream gets in one second, over all nodes.
     *
     * @param over factor of the rate that the configuration of its service states
     * @param slack number of requests that are added to that
     */
    public record ColdRequests(double over, double slack) {}

    /**
     * Returns the features that are switched on.
     *
     * @param defaults features that the terms of the deployment call for
     */
    public Set<Feature> enabledFeatures(Set<Feature> defaults) {
        EnumSet<Feature> enabled = EnumSet.noneOf(Feature.class);
        for (Feature feature : Feature.values()) {
            if (features.getOrDefault(feature, defaults.contains(feature))) {
                enabled.add(feature);
            }
        }
        return enabled;
    }

    /**
     * Reads a settings file.
     *
     * @throws SettingsException if the settings are invalid; names the file, line, column and expected value
     */
    public static SidecarSettings read(Path file) throws SettingsException {
        return from(TomlReader.read(file));
    }

    /**
     * Creates the settings from a parsed TOML document.
     *
     * @throws SettingsException if the settings are invalid; names the file, line, column and expected value
     */
    public static SidecarSettings from(TomlReader toml) throws SettingsException {
        TomlReader listen = toml.section("listen");
        TomlReader upstream = toml.section("upstream");
        SidecarSettings settings = new SidecarSettings(
                readId(toml, "host", HostId::new),
                readId(toml, "zone", ZoneId::new),
                zones(toml),
                readId(upstream, "service", ServiceId::new),
                upstream.address("address"),
                listen.address("callers"),
                listen.address("ready"),
                listen.address("announcements"),
                listen.address("peers"),
                listen.address("operators"),
                toml.section("store").address("address"),
                toml.flag("first-start", false),
                logFormat(toml.section("log")),
                bounds(toml.section("bounds")),
                toml.texts("terms"),
                features(toml.section("features")));
        toml.finish();
        return settings;
    }

    private static List<ZoneId> zones(TomlReader toml) throws SettingsException {
        ZoneId ownZone = readId(toml, "zone", ZoneId::new);
        List<ZoneId> zones = new ArrayList<>();
        for (String zone : toml.texts("zones")) {
            zones.add(parseId(toml, "zones", zone, ZoneId::new));
        }
        if (!zones.contains(ownZone) || new HashSet<>(zones).size() < zones.size()) {
            throw toml.error("zones", "each availability zone exactly once, including " + ownZone);
        }
        return List.copyOf(zones);
    }

    private static Bounds bounds(TomlReader toml) throws SettingsException {
        return new Bounds(
                readSecondsAsMillis(toml, "stop-s"),
                toml.keys().contains("config-apply-s")
                        ? readSecondsAsMillis(toml, "config-apply-s")
                        : DEFAULT_CONFIG_APPLY_MILLIS,
                readSecondsAsMillis(toml, "revocation-s"),
                readSecondsAsMillis(toml, "heartbeat-s"),
                toml.number("retry-ratio", 0, 10),
                toml.number("retry-slack", 0, 1e6),
                toml.number("limit-over", 0, 1),
                toml.number("limit-slack", 0, 1e6),
                readSecondsAsMillis(toml, "limit-window-s"),
                toml.keys().contains("evacuation-s")
                        ? OptionalLong.of(readSecondsAsMillis(toml, "evacuation-s"))
                        : OptionalLong.empty(),
                coldRequests(toml));
    }

    private static Optional<ColdRequests> coldRequests(TomlReader toml) throws SettingsException {
        boolean present = toml.keys().contains("cold-over") || toml.keys().contains("cold-slack");
        return present
                ? Optional.of(new ColdRequests(toml.number("cold-over", 0, 1e3), toml.number("cold-slack", 0, 1e6)))
                : Optional.empty();
    }

    private static Map<Feature, Boolean> features(TomlReader toml) throws SettingsException {
        Map<Feature, Boolean> features = new EnumMap<>(Feature.class);
        for (Feature feature : Feature.values()) {
            boolean enabled = toml.flag(feature.key(), false);
            if (toml.keys().contains(feature.key())) {
                features.put(feature, enabled);
            }
        }
        return features;
    }

    private static long readSecondsAsMillis(TomlReader toml, String key) throws SettingsException {
        return Math.round(toml.number(key, 0.1, 3_600) * 1_000);
    }

    private static String logFormat(TomlReader toml) throws SettingsException {
        String format = toml.text("format", "json");
        if (!format.equals("json") && !format.equals("text")) {
            throw toml.error("format", "text or json");
        }
        return format;
    }

    private static <T> T readId(TomlReader toml, String key, java.util.function.Function<String, T> parse)
            throws SettingsException {
        return parseId(toml, key, toml.text(key), parse);
    }

    private static <T> T parseId(
            TomlReader toml, String key, String value, java.util.function.Function<String, T> parse)
            throws SettingsException {
        try {
            return parse.apply(value);
        } catch (IllegalArgumentException e) {
            throw toml.error(key, "1 to 64 lower-case letters, digits, dots and hyphens");
        }
    }
}
