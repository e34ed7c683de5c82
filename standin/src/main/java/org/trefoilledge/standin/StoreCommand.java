package org.trefoilledge.standin;

import java.io.IOException;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** Runs the stand-in store until the process is stopped. */
@Command(
        name = "store",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description = "Runs a store in memory that speaks a part of the etcd v3 JSON gateway.")
final class StoreCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Option(
            names = "--listen",
            paramLabel = "ADDRESS",
            defaultValue = "127.0.0.1:2379",
            description = "IP address and port (default: ${DEFAULT-VALUE}).")
    private String listen;

    @Option(
            names = "--writes-per-second",
            paramLabel = "N",
            defaultValue = "400",
            description = "Rate above which writes are refused (default: ${DEFAULT-VALUE}).")
    private int writesPerSecond;

    @Option(
            names = "--reads-per-second",
            paramLabel = "N",
            defaultValue = "2000",
            description = "Rate above which reads and watches are refused (default: ${DEFAULT-VALUE}).")
    private int readsPerSecond;

    @Option(
            names = "--latency-ms",
            paramLabel = "N",
            defaultValue = "2",
            description = "Time that each call takes (default: ${DEFAULT-VALUE}).")
    private long latencyMillis;

    @Override
    public Integer call() throws IOException, InterruptedException {
        try (StoreStandin store =
                StoreStandin.start(listen, new StoreLimits(writesPerSecond, readsPerSecond, latencyMillis))) {
            spec.commandLine().getOut().println("store ready at " + store.endpoint());
            spec.commandLine().getOut().flush();
            new CountDownLatch(1).await();
            return 0;
        } catch (IllegalArgumentException e) {
            throw new ParameterException(spec.commandLine(), e.getMessage(), e);
        }
    }
}
