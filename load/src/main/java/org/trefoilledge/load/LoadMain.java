package org.trefoilledge.load;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import org.slf4j.LoggerFactory;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The command {@code trefoilledge-load}. */
@Command(
        name = "trefoilledge-load",
        description = "Open-loop load and experiments for trefoilledge.",
        mixinStandardHelpOptions = true,
        subcommands = {RunCommand.class, Demo.class})
public final class LoadMain implements Runnable {
    @Spec
    private CommandSpec spec;

    /** Runs the command and ends the process with its exit code. */
    public static void main(String[] arguments) {
        System.exit(new CommandLine(new LoadMain()).execute(arguments));
    }

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "a subcommand is needed");
    }

    /** Sets the log level to ERROR, because the HTTP client logs each failed connection and the reports count them. */
    static void limitLoggingToErrors() {
        if (LoggerFactory.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME) instanceof Logger root) {
            root.setLevel(Level.ERROR);
        }
    }
}
