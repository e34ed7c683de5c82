package org.trefoilledge.load;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.trefoilledge.core.config.Inventory;

/** Runs an experiment under each of its profiles, one after the other. */
final class ExperimentRunner {
    /** Wait after the start of a deployment for rate limits, concurrency limits and loans to settle. */
    private static final long SETTLE_MILLIS = 3_000;

    private final Experiment experiment;
    private final Path directory;
    private final PrintWriter out;

    ExperimentRunner(Experiment experiment, Path directory, PrintWriter out) {
        this.experiment = experiment;
        this.directory = directory;
        this.out = out;
    }

    List<ProfileRun> run() throws Exception {
        Files.createDirectories(directory);
        List<ProfileRun> runs = new ArrayList<>();
        for (String profile : experiment.profiles()) {
            out.println(experiment.name() + ", profile " + profile);
            out.flush();
            runs.add(run(profile));
        }
        return runs;
    }

    private ProfileRun run(String profile) throws Exception {
        Path profileDirectory = Files.createDirectories(directory.resolve(profile));
        try (ControlClient controlClient = new ControlClient()) {
            if (experiment.deployment().isEmpty()) {
                return runWorkload(profile, experiment, controlClient, Optional.empty(), profileDirectory);
            }
            DeploymentSettings settings = experiment.deployment().get();
            try (Deployment deployment =
                    new Deployment(settings, Profile.of(profile), profileDirectory, controlClient)) {
                out.println("starting the deployment, logs in " + profileDirectory);
                out.flush();
                deployment.start();
                Thread.sleep(SETTLE_MILLIS);
                Experiment resolved = resolve(experiment, deployment);
                return runWorkload(profile, resolved, controlClient, Optional.of(deployment), profileDirectory);
            }
        }
    }

    private ProfileRun runWorkload(
            String profile,
            Experiment resolved,
            ControlClient controlClient,
            Optional<Deployment> deployment,
            Path profileDirectory)
            throws Exception {
        RunRecorder recorder = new RunRecorder();
        List<String> failures;
        try (HistogramLog log = new HistogramLog(profileDirectory.resolve("latency.hlog"));
                Driver driver = new Driver(resolved, recorder);
                ProgressPrinter progress = new ProgressPrinter(recorder, out, log);
                ActionRunner actions = new ActionRunner(controlClient, deployment, out)) {
            driver.start();
            progress.start();
            actions.start(resolved.actions());
            driver.run();
            failures = actions.failures();
        }
        List<RootRequest> roots = recorder.roots();
        List<Attempt> attempts = recorder.attempts();
        WastedExecutions wasted = deployment
                .map(d -> d.wastedExecutions(roots, resolved.groups()))
                .orElse(WastedExecutions.NONE);
        RunStatistics statistics = RunStatistics.of(profile, resolved, roots, attempts, wasted);
        TimeSeries series = TimeSeries.of(resolved.durationSeconds(), roots, attempts);
        writeCsv(profileDirectory, statistics, series);
        return new ProfileRun(profile, statistics, series, failures);
    }

    private static void writeCsv(Path directory, RunStatistics statistics, TimeSeries series) throws IOException {
        Files.writeString(directory.resolve("seconds.csv"), CsvReport.seconds(series));
        Files.writeString(directory.resolve("organisations.csv"), CsvReport.organisations(statistics));
    }

    /** Adds the addresses, keys, rates and bursts of a started deployment to the experiment. */
    static Experiment resolve(Experiment experiment, Deployment deployment) {
        return experiment
                .withTargets(deployment.callerAddresses())
                .withGroups(groups(experiment, deployment.inventory()));
    }

    static List<CallerGroup> groups(Experiment experiment, Inventory inventory) {
        Map<String, CallerGroup> listed = new HashMap<>();
        experiment.groups().forEach(group -> listed.put(group.organisation(), group));
        Experiment.CallerDefaults defaults = experiment.defaults();
        List<CallerGroup> groups = new ArrayList<>();
        inventory.organisations().forEach((id, organisation) -> {
            double defaultRate = organisation.rate() * defaults.loadFactor();
            CallerGroup group = listed.remove(id.value());
            if (group == null) {
                group = new CallerGroup(id.value(), "", 0, 0, 0, defaults.retry(), defaults.shape(), defaults.mix());
            }
            groups.add(new CallerGroup(
                    id.value(),
                    group.key().isEmpty() ? ScaledInventory.key(id.value()) : group.key(),
                    group.rate() > 0 ? group.rate() : defaultRate,
                    organisation.rate(),
                    organisation.burst(),
                    group.retry(),
                    group.shape(),
                    group.mix()));
        });
        groups.addAll(listed.values());
        return groups;
    }
}
