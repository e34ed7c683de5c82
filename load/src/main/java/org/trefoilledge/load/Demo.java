package org.trefoilledge.load;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import org.trefoilledge.configstore.SettingsException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Starts a sample deployment as processes on loopback, sends traffic of every organisation for some seconds, stops. */
@Command(
        name = "demo",
        description = "Starts a sample deployment on this machine, sends traffic for some seconds and stops it.",
        mixinStandardHelpOptions = true)
public final class Demo implements Callable<Integer> {
    private static final int FAILED = 1;
    private static final int INVALID = 2;

    @Option(
            names = "--deployment",
            defaultValue = "nilebadge",
            description = "nilebadge or haneul (default: nilebadge)")
    private String deployment;

    @Option(names = "--seconds", defaultValue = "10", description = "length of the traffic in seconds (default: 10)")
    private int seconds;

    @Option(names = "--base-port", defaultValue = "21000", description = "first loopback port (default: 21000)")
    private int basePort;

    @Option(
            names = "--load-factor",
            description = "fraction of each organisation's rate to send (default: ${DEFAULT-VALUE})")
    private double loadFactor = DemoExperiment.LOAD_FACTOR;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        LoadMain.limitLoggingToErrors();
        PrintWriter out = spec.commandLine().getOut();
        PrintWriter err = spec.commandLine().getErr();
        try {
            Experiment experiment = DemoExperiment.of(HomeDirectory.find(), deployment, seconds, basePort, loadFactor);
            Path directory = Files.createTempDirectory("trefoilledge-demo-");
            return run(experiment, directory, out, err);
        } catch (SettingsException | IllegalArgumentException e) {
            err.println(e.getMessage());
            return INVALID;
        } catch (IOException e) {
            err.println("the demo did not start: " + e.getMessage());
            return FAILED;
        }
    }

    private static int run(Experiment experiment, Path directory, PrintWriter out, PrintWriter err) throws Exception {
        try {
            List<ProfileRun> runs = new ExperimentRunner(experiment, directory, out).run();
            out.println();
            out.print(SummaryTable.text(runs));
            out.printf(Locale.ROOT, "logs and tables are in %s%n", directory);
            out.flush();
            return exitCode(runs, directory, err);
        } catch (StartException e) {
            err.println("the demo did not start: " + e.getMessage());
            return FAILED;
        }
    }

    private static int exitCode(List<ProfileRun> runs, Path directory, PrintWriter err) {
        if (runs.get(0).statistics().total().whole() > 0) {
            return 0;
        }
        err.println("no request was answered whole; logs are in " + directory);
        return FAILED;
    }
}
