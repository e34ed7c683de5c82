package org.trefoilledge.scenarios;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.trefoilledge.standin.UpstreamOptions;
import org.trefoilledge.standin.UpstreamStandin;

/** One host: the process of its node, and its upstream in this process. */
final class LoopbackHost {
    static final double SERVICE_MILLIS = 5;

    private static final double SERVICE_SPREAD = 0.3;
    private static final int SLOTS = 8;
    private static final int CONNECTIONS = 100;
    private static final int QUEUE = 100;
    private static final int STOP_SECONDS = 40;
    private static final int DRAIN_MILLIS = 5_000;

    private final String name;
    private final String zone;
    private final String address;
    private final Path directory;
    /** All upstreams that this host had; their counts stay after the host was replaced. */
    private final List<UpstreamStandin> upstreams = new CopyOnWriteArrayList<>();

    private volatile ChildProcess node;
    private int starts;

    LoopbackHost(String name, String zone, String address, Path directory) {
        this.name = name;
        this.zone = zone;
        this.address = address;
        this.directory = directory;
    }

    String name() {
        return name;
    }

    String zone() {
        return zone;
    }

    ChildProcess node() {
        return node;
    }

    UpstreamStandin upstream() {
        return upstreams.get(upstreams.size() - 1);
    }

    String listen(int port) {
        return address + ":" + port;
    }

    void start(String storeEndpoint, List<String> seeds) throws IOException {
        starts++;
        Path settings = directory.resolve(name + ".toml");
        Files.writeString(settings, settings(storeEndpoint, seeds));
        Path log = directory.resolve(name + "-" + starts + ".log");
        node = ChildProcess.start(log, "org.trefoilledge.node.NodeMain", "--config", settings.toString());
        UpstreamOptions options = UpstreamOptions.of(name, LoopbackFleet.SERVICE)
                .withListen(listen(Loopback.UPSTREAM_PORT))
                .withNode(listen(Loopback.LOCAL_PORT))
                .withCapacity(SLOTS, CONNECTIONS, QUEUE)
                .withServiceTime(SERVICE_MILLIS, SERVICE_SPREAD);
        upstreams.add(UpstreamStandin.start(options));
    }

    private String settings(String storeEndpoint, List<String> seeds) {
        return """
                host = "%s"
                zone = "%s"
                deployment = "scenarios"

                [listen]
                callers = "%s"
                local = "%s"
                peers = "%s"
                operators = "%s"

                [store]
                endpoints = ["%s"]

                [peers]
                seeds = [%s]

                [limits]
                isolated-grace-ms = 5000

                [faults]
                enabled = true
                """
                .formatted(
                        name,
                        zone,
                        listen(Loopback.CALLERS_PORT),
                        listen(Loopback.LOCAL_PORT),
                        listen(Loopback.PEERS_PORT),
                        listen(Loopback.OPERATORS_PORT),
                        storeEndpoint,
                        "\"" + String.join("\", \"", seeds) + "\"");
    }

    /** Requests with an idempotency key are counted; of the others each upstream knows only whether it got them. */
    int executions(String id) {
        long keyed = upstreams.stream()
                .mapToLong(upstream -> upstream.executionsByKey().getOrDefault(id, 0L))
                .sum();
        long received = upstreams.stream()
                .filter(upstream -> upstream.received(Callers.marker(id)))
                .count();
        return (int) Math.max(keyed, received);
    }

    long executions() {
        return upstreams.stream()
                .mapToLong(upstream -> upstream.totals().get("started"))
                .sum();
    }

    /** Ends node and upstream at once. */
    void kill() {
        node.kill();
        upstream().close();
    }

    /** Stops as an operator does: the node drains while its upstream still works for it. */
    void stop() throws IOException {
        try {
            node.stop(STOP_SECONDS);
            upstream().drain(DRAIN_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        } finally {
            upstream().close();
        }
    }

    /** Ends whatever still runs. */
    void end() {
        if (node != null) {
            node.kill();
        }
        if (!upstreams.isEmpty()) {
            upstream().close();
        }
    }
}
