package org.trefoilledge.load;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.trefoilledge.configstore.SettingsException;
import org.trefoilledge.configstore.TomlReader;
import org.trefoilledge.core.Importance;

/** Reads experiment files. Paths in a file are relative to the file. */
final class ExperimentReader {
    private static final double MAX_SECONDS = 900;
    private static final double MAX_RATE = 50_000;

    private final Path directory;
    private final TomlReader file;

    private ExperimentReader(Path directory, TomlReader file) {
        this.directory = directory;
        this.file = file;
    }

    static Experiment read(Path path) throws SettingsException {
        Path directory = path.toAbsolutePath().getParent();
        return new ExperimentReader(directory, TomlReader.read(path)).experiment();
    }

    static Experiment parse(Path directory, String name, String text) throws SettingsException {
        return new ExperimentReader(directory, TomlReader.parse(name, text)).experiment();
    }

    private Experiment experiment() throws SettingsException {
        double duration = file.number("duration_s", 1, MAX_SECONDS);
        double trigger = file.number("trigger_s", -1, duration, -1);
        RetryPolicy retry = retry(file.section("retry"));
        RateShape shape = shape(file.sections("surge"));
        List<RouteLoad> mix = mix();
        TomlReader defaults = file.section("callers");
        Experiment experiment = new Experiment(
                file.text("name"),
                file.text("description", ""),
                file.text("scale", "not stated"),
                profiles(),
                deployment(),
                file.texts("targets"),
                duration,
                file.number("warmup_s", 0, duration, 0),
                trigger,
                file.number("recover_from_s", -1, duration, trigger),
                file.integer("deadline_ms", 1, 600_000, 2_000),
                (int) file.integer("max_in_flight", 1, 20_000, 5_000),
                uniform(),
                file.integer("seed", Long.MIN_VALUE, Long.MAX_VALUE, 1),
                new Experiment.CallerDefaults(defaults.number("load_factor", 0, 100, 0), retry, shape, mix),
                groups(retry, shape, mix),
                actions(),
                phases(duration));
        validate(experiment);
        file.finish();
        return experiment;
    }

    private void validate(Experiment experiment) throws SettingsException {
        if (experiment.deployment().isEmpty() && experiment.targets().isEmpty()) {
            throw file.error("expected targets or a [deployment] section");
        }
        if (experiment.groups().isEmpty() && experiment.defaults().loadFactor() <= 0) {
            throw file.error("expected at least one [[organisation]] or callers.load_factor above 0");
        }
        if (experiment.deployment().isEmpty() && experiment.groups().isEmpty()) {
            throw file.error("callers.load_factor needs a [deployment] section, which has the inventory");
        }
    }

    private boolean uniform() throws SettingsException {
        String arrivals = file.text("arrivals", "poisson");
        if (!arrivals.equals("poisson") && !arrivals.equals("uniform")) {
            throw file.error("arrivals", "poisson or uniform");
        }
        return arrivals.equals("uniform");
    }

    private List<String> profiles() throws SettingsException {
        List<String> names = file.texts("profiles");
        for (String name : names) {
            if (!Profile.isKnown(name)) {
                throw file.error("profiles", "names of " + String.join(", ", Profile.names()));
            }
        }
        return names.isEmpty() ? List.of(Profile.DEFAULT) : names;
    }

    private Optional<DeploymentSettings> deployment() throws SettingsException {
        if (!file.keys().contains("deployment")) {
            return Optional.empty();
        }
        TomlReader section = file.section("deployment");
        return Optional.of(new DeploymentSettings(
                directory.resolve(section.text("hosts")).normalize(),
                directory.resolve(section.text("inventory")).normalize(),
                (int) section.integer("base_port", 1024, 64_000, DeploymentSettings.DEFAULT_BASE_PORT),
                (int) section.integer("hosts_per_service", 1, 100, 100),
                section.number("slots_factor", 0.0001, 100, 1),
                section.number("connections_factor", 0.0001, 100, 1),
                section.number("rate_factor", 0.0001, 100, 1),
                section.flag("faults", false),
                upstreams(section)));
    }

    private static List<UpstreamSettings> upstreams(TomlReader section) throws SettingsException {
        List<UpstreamSettings> upstreams = new ArrayList<>();
        for (TomlReader entry : section.sections("upstream")) {
            upstreams.add(new UpstreamSettings(
                    entry.text("service"),
                    entry.number("service_time_ms", 0, 60_000, 10),
                    entry.number("service_time_spread", 0, 1, 0.3),
                    entry.integer("cold_start_ms", 0, 600_000, 0),
                    entry.texts("calls")));
        }
        return upstreams;
    }

    private List<CallerGroup> groups(RetryPolicy retry, RateShape shape, List<RouteLoad> mix) throws SettingsException {
        List<CallerGroup> groups = new ArrayList<>();
        for (TomlReader entry : file.sections("organisation")) {
            groups.add(group(entry, retry, shape, mix));
        }
        return groups;
    }

    private CallerGroup group(TomlReader entry, RetryPolicy retry, RateShape shape, List<RouteLoad> mix)
            throws SettingsException {
        List<RouteLoad> groupMix = new ArrayList<>();
        List<String> names = entry.texts("routes");
        for (String name : names) {
            groupMix.add(mix.stream()
                    .filter(route -> route.id().equals(name))
                    .findFirst()
                    .orElseThrow(() -> entry.error("routes", "ids of [[route]] entries")));
        }
        if (mix.isEmpty()) {
            throw entry.error("expected at least one [[route]] in the file");
        }
        boolean ownRetry = entry.keys().contains("retry");
        boolean ownShape = entry.keys().contains("surge");
        return new CallerGroup(
                entry.text("id"),
                entry.text("key", ""),
                entry.number("rate", 0, MAX_RATE, 0),
                entry.number("entitled_rate", 0, MAX_RATE, 0),
                entry.number("entitled_burst", 0, MAX_RATE, 0),
                ownRetry ? retry(entry.section("retry")) : retry,
                ownShape ? shape(entry.sections("surge")) : shape,
                groupMix.isEmpty() ? mix : groupMix);
    }

    private List<RouteLoad> mix() throws SettingsException {
        List<RouteLoad> routes = new ArrayList<>();
        for (TomlReader entry : file.sections("route")) {
            String method = entry.text("method", "GET");
            String path = entry.text("path");
            routes.add(new RouteLoad(
                    entry.text("id", method + " " + path),
                    method,
                    path,
                    entry.text("body", ""),
                    importance(entry),
                    entry.number("weight", 0, 1_000_000, 1),
                    entry.flag("idempotency_key", false),
                    entry.keys().contains("echo") ? entry.texts("echo") : RequestEcho.DEFAULT));
        }
        return routes;
    }

    private static Importance importance(TomlReader entry) throws SettingsException {
        String text = entry.text("importance", "normal");
        try {
            return Importance.valueOf(text.toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException e) {
            throw entry.error("importance", "critical, high, normal or low");
        }
    }

    private static RetryPolicy retry(TomlReader section) throws SettingsException {
        return new RetryPolicy(
                (int) section.integer("attempts", 0, 100, 0),
                section.integer("delay_ms", 0, 60_000, 100),
                section.number("jitter", 0, 1, 0.5),
                section.flag("respect_retry_after", true));
    }

    private RateShape shape(List<TomlReader> entries) throws SettingsException {
        List<RateShape.Step> steps = new ArrayList<>();
        for (TomlReader entry : entries) {
            double at = entry.number("at_s", 0, MAX_SECONDS);
            if (!steps.isEmpty() && steps.get(steps.size() - 1).atSeconds() >= at) {
                throw entry.error("at_s", "a time after that of the step before");
            }
            steps.add(new RateShape.Step(at, entry.number("multiplier", 0, 1_000)));
        }
        return new RateShape(steps);
    }

    private List<TimedAction> actions() throws SettingsException {
        List<TimedAction> actions = new ArrayList<>();
        for (TomlReader entry : file.sections("action")) {
            actions.add(action(entry));
        }
        return actions;
    }

    private static TimedAction action(TomlReader entry) throws SettingsException {
        double at = entry.number("at_s", 0, MAX_SECONDS);
        String body = entry.text("body", "");
        List<TimedAction> parsed = new ArrayList<>();
        for (TimedAction.Kind kind : TimedAction.Kind.values()) {
            List<String> targets = oneOrMore(entry, kind.key());
            if (!targets.isEmpty()) {
                parsed.add(new TimedAction(at, kind, targets, body));
            }
        }
        if (parsed.size() != 1) {
            throw entry.error("an action: expected exactly one of put, start, stop, kill, freeze, resume");
        }
        return parsed.get(0);
    }

    private static List<String> oneOrMore(TomlReader entry, String key) throws SettingsException {
        try {
            return entry.optionalText(key).map(List::of).orElse(List.of());
        } catch (SettingsException e) {
            return entry.texts(key);
        }
    }

    private List<Phase> phases(double duration) throws SettingsException {
        List<Phase> phases = new ArrayList<>();
        for (TomlReader entry : file.sections("phase")) {
            phases.add(new Phase(
                    entry.text("name"), entry.number("from_s", 0, duration), entry.number("to_s", 0, duration)));
        }
        return phases;
    }
}
