package org.trefoilledge.node;

import ch.qos.logback.classic.LoggerContext;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.trefoilledge.configstore.SettingsException;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Starts the node process of one upstream host. */
@Command(
        name = "trefoilledge-node",
        mixinStandardHelpOptions = true,
        version = "trefoilledge 0.1.0",
        description = "Runs the node of one upstream host until it is stopped.",
        exitCodeListHeading = "Exit codes:%n",
        exitCodeList = {"0:stopped in an orderly way", "1:failed while starting", "2:wrong usage or settings"})
public final class NodeMain implements Callable<Integer> {
    @Option(names = "--config", required = true, paramLabel = "FILE", description = "Settings in TOML.")
    private Path config;

    /** Runs the program; its exit codes are in the help text. */
    public static void main(String[] arguments) {
        System.exit(new CommandLine(new NodeMain()).execute(arguments));
    }

    @Override
    public Integer call() {
        NodeSettings settings;
        try {
            settings = NodeSettings.read(config);
        } catch (SettingsException e) {
            System.err.println(e.getMessage());
            return 2;
        }
        System.setProperty("logback.configurationFile", "node-logback-" + settings.logFormat() + ".xml");
        return run(settings);
    }

    private static int run(NodeSettings settings) {
        Logger log = LoggerFactory.getLogger(NodeMain.class);
        CountDownLatch stopped = new CountDownLatch(1);
        try {
            Node node = Node.start(settings);
            Runtime.getRuntime().addShutdownHook(new Thread(() -> {
                node.close();
                flushLog();
                stopped.countDown();
            }));
        } catch (Exception e) {
            log.error("node: the node cannot start: {}.", e.toString());
            return 1;
        }
        awaitQuietly(stopped);
        return 0;
    }

    private static void flushLog() {
        if (LoggerFactory.getILoggerFactory() instanceof LoggerContext context) {
            context.stop();
        }
    }

    private static void awaitQuietly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
