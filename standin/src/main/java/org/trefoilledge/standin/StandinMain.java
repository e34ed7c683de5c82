package org.trefoilledge.standin;

import picocli.CommandLine;
import picocli.CommandLine.Command;

/** Command line of the stand-ins for external systems. */
@Command(
        name = "trefoilledge-standin",
        mixinStandardHelpOptions = true,
        version = "trefoilledge-standin 0.1.0-SNAPSHOT",
        description = "Runs a stand-in for the platform's store or for an upstream.",
        subcommands = {StoreCommand.class, UpstreamCommand.class})
public final class StandinMain {
    private StandinMain() {}

    /** Runs the command. Exits with 1 on failure and with 2 on a usage error. */
    public static void main(String[] arguments) {
        StandinLogging.configure();
        System.exit(commandLine().execute(arguments));
    }

    static CommandLine commandLine() {
        return new CommandLine(new StandinMain()).setExecutionExceptionHandler((e, command, result) -> {
            command.getErr().println(command.getCommandName() + ": " + e.getMessage());
            return CommandLine.ExitCode.SOFTWARE;
        });
    }
}
