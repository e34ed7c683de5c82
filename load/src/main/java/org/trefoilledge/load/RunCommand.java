package org.trefoilledge.load;

import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.LocalDateTime;
import java.time.format.DateTimeFormatter;
import java.util.List;
import java.util.concurrent.Callable;
import org.trefoilledge.configstore.SettingsException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Runs one experiment and writes its report. */
@Command(name = "run", description = "Runs an experiment file and writes a report.", mixinStandardHelpOptions = true)
final class RunCommand implements Callable<Integer> {
    private static final int FAILED = 1;
    private static final int INVALID = 2;

    @Parameters(paramLabel = "EXPERIMENT.toml", description = "the experiment file, see docs/load.md")
    private Path file;

    @Option(
            names = "--report",
            paramLabel = "DIR",
            description = "directory of the report (default: reports/NAME-TIME)")
    private Path report;

    @Option(names = "--seed", paramLabel = "N", description = "seed of the random source, instead of the file's")
    private Long seed;

    @Option(names = "--profile", paramLabel = "NAME", description = "run only this profile; may be repeated")
    private List<String> profiles = List.of();

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        LoadMain.limitLoggingToErrors();
        PrintWriter out = spec.commandLine().getOut();
        PrintWriter err = spec.commandLine().getErr();
        try {
            Experiment experiment = experiment();
            run(experiment, out);
            return 0;
        } catch (SettingsException | IllegalArgumentException e) {
            err.println(e.getMessage());
            return INVALID;
        } catch (StartException e) {
            err.println("the deployment did not start: " + e.getMessage());
            return FAILED;
        }
    }

    private Experiment experiment() throws SettingsException {
        Experiment experiment = ExperimentReader.read(file);
        if (seed != null) {
            experiment = experiment.withSeed(seed);
        }
        profiles.forEach(Profile::of);
        return profiles.isEmpty() ? experiment : experiment.withProfiles(profiles);
    }

    private void run(Experiment experiment, PrintWriter out) throws Exception {
        Path directory = report == null ? defaultReport(experiment) : report;
        List<ProfileRun> runs = new ExperimentRunner(experiment, directory, out).run();
        String table = SummaryTable.text(runs);
        Files.writeString(directory.resolve("summary.txt"), table);
        Files.writeString(directory.resolve("report.html"), HtmlReport.page(experiment, runs));
        out.println();
        out.print(table);
        out.println("report: " + directory.resolve("report.html"));
        out.flush();
    }

    private static Path defaultReport(Experiment experiment) {
        String time = LocalDateTime.now(java.time.ZoneId.systemDefault())
                .format(DateTimeFormatter.ofPattern("yyyyMMdd-HHmmss"));
        return Path.of("reports", experiment.name() + "-" + time);
    }
}
