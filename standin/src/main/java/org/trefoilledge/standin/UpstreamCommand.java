package org.trefoilledge.standin;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** Runs the stand-in upstream until the process is stopped, and drains it on SIGTERM. */
@Command(
        name = "upstream",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description = "Runs an HTTP upstream that announces itself to its node and counts what it executes.")
final class UpstreamCommand implements Callable<Integer> {
    private static final long DRAIN_TIMEOUT_MILLIS = 30_000;

    @Spec
    private CommandSpec spec;

    @Option(
            names = "--listen",
            paramLabel = "ADDRESS",
            defaultValue = "127.0.0.1:9000",
            description = "IP address and port (default: ${DEFAULT-VALUE}).")
    private String listen;

    @Option(
            names = "--node",
            paramLabel = "ADDRESS",
            defaultValue = "",
            description = "Local address of the node on this host; without it the upstream announces itself nowhere.")
    private String node;

    @Option(names = "--host", paramLabel = "NAME", required = true, description = "Announced host.")
    private String host;

    @Option(names = "--service", paramLabel = "NAME", required = true, description = "Announced service.")
    private String service;

    @Option(
            names = "--slots",
            paramLabel = "N",
            defaultValue = "90",
            description = "Requests executed at a time (default: ${DEFAULT-VALUE}).")
    private int slots;

    @Option(
            names = "--connections",
            paramLabel = "N",
            defaultValue = "650",
            description = "Connections accepted at a time (default: ${DEFAULT-VALUE}).")
    private int connections;

    @Option(
            names = "--queue",
            paramLabel = "N",
            defaultValue = "100",
            description = "Requests that wait for a slot; more get status 503 (default: ${DEFAULT-VALUE}).")
    private int queue;

    @Option(
            names = "--service-time-ms",
            paramLabel = "MS",
            defaultValue = "10",
            description = "Mean time that a request holds its slot (default: ${DEFAULT-VALUE}).")
    private double serviceTimeMillis;

    @Option(
            names = "--service-time-spread",
            paramLabel = "PART",
            defaultValue = "0.3",
            description = "Part of the mean by which the time varies, 0 to 1 (default: ${DEFAULT-VALUE}).")
    private double serviceTimeSpread;

    @Option(
            names = "--cold-start-ms",
            paramLabel = "MS",
            defaultValue = "0",
            description = "Time after the start with longer service times (default: ${DEFAULT-VALUE}).")
    private long coldStartMillis;

    @Option(
            names = "--calls",
            paramLabel = "\"GET /PATH\"",
            arity = "1..*",
            description = "Own calls for each request, through the node; {n} becomes a number.")
    private List<String> calls = List.of();

    @Override
    public Integer call() throws IOException, InterruptedException {
        try (UpstreamStandin upstream = UpstreamStandin.start(options())) {
            Runtime.getRuntime().addShutdownHook(new Thread(() -> drain(upstream), "upstream-drain"));
            spec.commandLine().getOut().println("upstream " + host + " ready at " + upstream.address());
            spec.commandLine().getOut().flush();
            new CountDownLatch(1).await();
            return 0;
        } catch (IllegalArgumentException e) {
            throw new ParameterException(spec.commandLine(), e.getMessage(), e);
        }
    }

    private UpstreamOptions options() {
        return new UpstreamOptions(
                listen,
                node,
                host,
                service,
                slots,
                connections,
                queue,
                serviceTimeMillis,
                serviceTimeSpread,
                coldStartMillis,
                calls);
    }

    /** Runs as a shutdown hook on SIGTERM. Halts the JVM, which would otherwise exit with the code of the signal. */
    private void drain(UpstreamStandin upstream) {
        try {
            boolean finished = upstream.drain(DRAIN_TIMEOUT_MILLIS);
            spec.commandLine()
                    .getOut()
                    .println("upstream " + host + (finished ? " drained" : " stopped with unfinished requests"));
            spec.commandLine().getOut().flush();
            Runtime.getRuntime().halt(finished ? 0 : 1);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
