package org.trefoilledge.operator;

import java.io.OutputStream;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.util.Base64;
import java.util.HexFormat;
import org.trefoilledge.configstore.EtcdSettings;
import org.trefoilledge.configstore.EtcdStore;
import org.trefoilledge.core.Clock;
import org.trefoilledge.load.Demo;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Help.Ansi;
import picocli.CommandLine.Option;

/** The operators' command {@code trefoilledge}. */
@Command(
        name = "trefoilledge",
        description = "Manages the configuration of a deployment and shows its state.",
        footer = {
            "",
            "Exit codes: 0 done, 1 rejected or failed, 2 wrong usage or invalid input, 3 outcome not known yet."
        })
public final class OperatorMain {
    private static final int KEY_BYTES = 32;
    private static final int OPERATION_BYTES = 8;
    private static final int HELP_WIDTH = 100;

    @Option(
            names = {"-h", "--help"},
            usageHelp = true,
            description = "Show this help and exit.")
    boolean help;

    OperatorMain() {}

    /** Runs the command and exits with its exit code. */
    public static void main(String[] arguments) throws Exception {
        OperatorLog.configure();
        int exitCode;
        try (HttpNodeClient nodes = new HttpNodeClient()) {
            exitCode = commandLine(environment(nodes, System.out, System.err)).execute(arguments);
        }
        System.exit(exitCode);
    }

    static Environment environment(NodeClient nodes, OutputStream out, OutputStream err) {
        SecureRandom random = new SecureRandom();
        return new Environment(
                new PrintWriter(out, true, StandardCharsets.UTF_8),
                new PrintWriter(err, true, StandardCharsets.UTF_8),
                (endpoints, timeoutMillis) -> new EtcdStore(new EtcdSettings(endpoints, "operator", timeoutMillis)),
                nodes,
                () -> HexFormat.of().formatHex(bytes(random, OPERATION_BYTES)),
                () -> Base64.getUrlEncoder().withoutPadding().encodeToString(bytes(random, KEY_BYTES)),
                Clock.system(),
                Thread::sleep);
    }

    private static byte[] bytes(SecureRandom random, int count) {
        byte[] bytes = new byte[count];
        random.nextBytes(bytes);
        return bytes;
    }

    static CommandLine commandLine(Environment environment) {
        CommandLine zone = new CommandLine(new ZoneCommand()).addSubcommand(new ZoneResetCommand(environment));
        CommandLine command = new CommandLine(new OperatorMain())
                .addSubcommand(new ValidateCommand(environment))
                .addSubcommand(new DiffCommand(environment))
                .addSubcommand(new ApplyCommand(environment))
                .addSubcommand(new ShowCommand(environment))
                .addSubcommand(new GrantCommand(environment))
                .addSubcommand(new WithdrawCommand(environment))
                .addSubcommand(new DrainCommand(environment))
                .addSubcommand(new StatusCommand(environment))
                .addSubcommand(new ExplainCommand(environment))
                .addSubcommand(new Demo())
                .addSubcommand(zone);
        return command.setOut(environment.out())
                .setErr(environment.err())
                .setUsageHelpWidth(HELP_WIDTH)
                .setColorScheme(CommandLine.Help.defaultColorScheme(Ansi.OFF))
                .setExecutionExceptionHandler(OperatorMain::unexpected);
    }

    private static int unexpected(Exception e, CommandLine command, CommandLine.ParseResult parsed) {
        command.getErr().println("failed: " + e);
        command.getErr().flush();
        return ExitCode.FAILED;
    }
}
