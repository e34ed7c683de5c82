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
    /** Limits, limits of concurrency and loans settle before traffic that counts. */
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
        Path own = Files.createDirectories(directory.resolve(profile));
        try (ControlClient control = new ControlClient()) {
            if (experiment.deployment().isEmpty()) {
                return runWorkload(profile, experiment, control, Optional.empty(), own);
            }
            DeploymentSettings settings = experiment.deployment().get();
            try (Deployment deployment = new Deployment(settings, Profile.of(profile), own, control)) {
                out.println("starting the deployment, logs in " + own);
                out.flush();
                deployment.start();
                Thread.sleep(SETTLE_MILLIS);
                Experiment resolved = resolve(experiment, deployment);
                return runWorkload(profile, resolved, control, Optional.of(deployment), own);
            }
        }
    }

    private ProfileRun runWorkload(
            String profile, Experiment resolved, ControlClient control, Optional<Deployment> deployment, Path own)
            throws Exception {
        RunRecorder journal = new RunRecorder();
        List<String> failures;
        try (HistogramLog log = new HistogramLog(own.resolve("latency.hlog"));
                Driver driver = new Driver(resolved, journal);
                ProgressPrinter progress = new ProgressPrinter(journal, out, log);
                ActionRunner actions = new ActionRunner(control, deployment, out)) {
            driver.start();
            progress.start();
            actions.start(resolved.actions());
            driver.run();
            failures = actions.failures();
        }
        List<RootRequest> roots = journal.roots();
        List<Attempt> attempts = journal.attempts();
        WastedExecutions wasted = deployment
                .map(d -> d.wastedExecutions(roots, resolved.groups()))
                .orElse(WastedExecutions.NONE);
        RunStatistics figures = RunStatistics.of(profile, resolved, roots, attempts, wasted);
        TimeSeries series = TimeSeries.of(resolved.durationSeconds(), roots, attempts);
        writeCsv(own, figures, series);
        return new ProfileRun(profile, figures, series, failures);
    }

    private static void writeCsv(Path directory, RunStatistics figures, TimeSeries series) throws IOException {
        Files.writeString(directory.resolve("seconds.csv"), CsvReport.seconds(series));
        Files.writeString(directory.resolve("organisations.csv"), CsvReport.organisations(figures));
    }

    /** Fills in what only the started deployment knows: addresses, keys, and the organisations' rates and bursts. */
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
