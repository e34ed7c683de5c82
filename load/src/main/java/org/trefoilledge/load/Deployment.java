package org.trefoilledge.load;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.trefoilledge.configstore.InventoryFile;
import org.trefoilledge.configstore.SettingsException;
import org.trefoilledge.core.config.Inventory;

/** Runs a deployment as processes on loopback: a store stand-in, and a node and an upstream stand-in per host. */
final class Deployment implements AutoCloseable {
    private static final String STANDIN_OPTIONS = "-Xmx128m -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xss512k";
    private static final String NODE_OPTIONS = "-Xmx256m -XX:+UseSerialGC";
    private static final long STORE_START_TIMEOUT_MILLIS = 20_000;
    private static final long APPLY_TIMEOUT_MILLIS = 60_000;
    private static final long READY_TIMEOUT_MILLIS = 90_000;
    private static final long POLL_INTERVAL_MILLIS = 200;
    /** Spreads the start of the Java runtimes, whose first seconds take most of a core each. */
    private static final long START_GAP_MILLIS = 100;

    private final DeploymentSettings settings;
    private final Profile profile;
    private final Path directory;
    private final Path home;
    private final PortPlan ports;
    private final List<Host> hosts;
    private final Inventory inventory;
    private final ProcessGroup processes;
    private final ControlClient controlClient;

    Deployment(DeploymentSettings settings, Profile profile, Path directory, ControlClient controlClient)
            throws SettingsException, IOException {
        this.settings = settings;
        this.profile = profile;
        this.directory = Files.createDirectories(directory);
        this.home = HomeDirectory.find();
        this.controlClient = controlClient;
        this.ports = new PortPlan(settings.basePort());
        this.hosts = Host.limit(Host.read(settings.hosts()), settings.hostsPerService()).stream()
                .map(host -> host.scaled(settings.slotsFactor(), settings.connectionsFactor()))
                .toList();
        this.inventory =
                ScaledInventory.scale(InventoryFile.read(settings.inventory()).inventory(), settings.rateFactor());
        this.processes = new ProcessGroup(directory);
    }

    /**
     * Starts everything and waits until every node has the inventory and sees all members.
     *
     * @throws StartException if something does not start; its message names the reason and the log directory
     */
    void start() throws StartException, InterruptedException {
        try {
            startStore();
            applyInventory();
            startHosts();
            awaitReady();
        } catch (IOException e) {
            throw new StartException(e.getMessage(), directory);
        }
    }

    private void startStore() throws IOException, StartException, InterruptedException {
        checkPortsFree();
        String script = scriptPath("trefoilledge-standin");
        start("store", List.of(script, "store", "--listen", ports.store()), STANDIN_OPTIONS);
        long deadline = deadlineNanos(STORE_START_TIMEOUT_MILLIS);
        while (!ControlClient.isListening(ports.store())) {
            check("store", deadline, "the store stand-in does not listen on " + ports.store());
            Thread.sleep(POLL_INTERVAL_MILLIS);
        }
    }

    /** Fails if a port is in use, because another deployment there would receive the requests of this one. */
    private void checkPortsFree() throws StartException {
        List<String> addresses = new ArrayList<>(callerAddresses());
        addresses.add(ports.store());
        for (String address : addresses) {
            if (ControlClient.isListening(address)) {
                throw new StartException(
                        "something already listens on " + address + "; choose another base port", directory);
            }
        }
    }

    private void applyInventory() throws IOException, StartException, InterruptedException {
        Path file = Files.writeString(directory.resolve("inventory.toml"), ScaledInventory.toml(inventory));
        Path log = directory.resolve("apply.log");
        Process process = new ProcessBuilder(
                        scriptPath("trefoilledge"), "apply", "--store", "http://" + ports.store(), file.toString())
                .redirectErrorStream(true)
                .redirectOutput(log.toFile())
                .start();
        boolean ended = process.waitFor(APPLY_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        if (!ended) {
            process.destroyForcibly();
        }
        if (!ended || process.exitValue() != 0) {
            String status = ended ? "ended with status " + process.exitValue() : "did not end";
            throw new StartException("apply " + status + ": " + lastLine(log), directory);
        }
    }

    private void startHosts() throws IOException, InterruptedException {
        List<String> seeds = seeds();
        for (int i = 0; i < hosts.size(); i++) {
            Host host = hosts.get(i);
            Path file = directory.resolve("node-" + host.id() + ".toml");
            Files.writeString(
                    file, NodeSettings.toml(host, i, inventory.deployment(), ports, seeds, profile, settings.faults()));
            start(
                    "node:" + host.id(),
                    List.of(scriptPath("trefoilledge-node"), "--config", file.toString()),
                    NODE_OPTIONS);
            Thread.sleep(START_GAP_MILLIS);
        }
        for (int i = 0; i < hosts.size(); i++) {
            start("upstream:" + hosts.get(i).id(), upstreamCommand(i), STANDIN_OPTIONS);
            Thread.sleep(START_GAP_MILLIS);
        }
    }

    /** One seed in each zone is enough to find all members, also while a zone is cut off. */
    private List<String> seeds() {
        List<String> seeds = new ArrayList<>();
        Set<String> zones = new HashSet<>();
        for (int i = 0; i < hosts.size(); i++) {
            if (zones.add(hosts.get(i).zone())) {
                seeds.add(ports.peers(i));
            }
        }
        return seeds;
    }

    private List<String> upstreamCommand(int index) {
        Host host = hosts.get(index);
        UpstreamSettings upstream = settings.upstream(host.service());
        List<String> command = new ArrayList<>(List.of(
                scriptPath("trefoilledge-standin"),
                "upstream",
                "--listen",
                ports.upstream(index),
                "--node",
                ports.local(index),
                "--host",
                host.id(),
                "--service",
                host.service(),
                "--slots",
                Integer.toString(host.slots()),
                "--connections",
                Integer.toString(host.connections()),
                "--service-time-ms",
                formatNumber(upstream.serviceTimeMillis()),
                "--service-time-spread",
                Double.toString(upstream.serviceTimeSpread()),
                "--cold-start-ms",
                Long.toString(upstream.coldStartMillis())));
        for (String call : upstream.calls()) {
            command.add("--calls");
            command.add(call);
        }
        return command;
    }

    private static String formatNumber(double value) {
        return value == Math.rint(value) ? Long.toString((long) value) : Double.toString(value);
    }

    private void awaitReady() throws StartException, InterruptedException {
        long deadline = deadlineNanos(READY_TIMEOUT_MILLIS);
        for (int i = 0; i < hosts.size(); i++) {
            String name = "node:" + hosts.get(i).id();
            String notReadyReason = readinessProblem(i);
            while (!notReadyReason.isEmpty()) {
                check(name, deadline, name + " is not ready: " + notReadyReason);
                check("upstream:" + hosts.get(i).id(), deadline, "the upstream ended");
                Thread.sleep(POLL_INTERVAL_MILLIS);
                notReadyReason = readinessProblem(i);
            }
        }
    }

    /** Returns why a node is not ready, empty if it is. */
    private String readinessProblem(int index) {
        try {
            JsonNode status = controlClient.get("http://" + ports.operators(index) + "/status");
            return Readiness.problem(status, hosts.size());
        } catch (IOException e) {
            return "no status: " + e.getMessage();
        }
    }

    private void check(String process, long deadline, String message) throws StartException {
        if (!processes.isAlive(process)) {
            throw new StartException(process + " ended: " + lastLine(processes.log(process)), directory);
        }
        if (System.nanoTime() > deadline) {
            throw new StartException(message, directory);
        }
    }

    private static String lastLine(Path log) {
        try {
            List<String> lines = Files.readAllLines(log);
            return lines.isEmpty() ? "no output" : lines.get(lines.size() - 1);
        } catch (IOException e) {
            return "no log";
        }
    }

    private static long deadlineNanos(long millis) {
        return System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private void start(String name, List<String> command, String options) throws IOException {
        processes.start(new ProcessGroup.ProcessSpec(name, command, options));
    }

    private String scriptPath(String name) {
        return home.resolve("bin").resolve(name).toString();
    }

    Inventory inventory() {
        return inventory;
    }

    ProcessGroup processes() {
        return processes;
    }

    List<String> callerAddresses() {
        List<String> addresses = new ArrayList<>();
        for (int i = 0; i < hosts.size(); i++) {
            addresses.add(ports.callers(i));
        }
        return addresses;
    }

    /**
     * Returns the control address of each target: {@code node:ID} is the operators' port of that host's node,
     * {@code upstream:ID} its upstream, {@code store} the store; an ID may end in {@code *}, and {@code @ZONE} or
     * {@code =SERVICE} select hosts by zone or service.
     */
    List<String> addresses(String target) {
        if (target.equals("store")) {
            return List.of(ports.store());
        }
        List<String> addresses = new ArrayList<>();
        for (int i = 0; i < hosts.size(); i++) {
            if (HostPattern.matches(target, "node", hosts.get(i))) {
                addresses.add(ports.operators(i));
            }
            if (HostPattern.matches(target, "upstream", hosts.get(i))) {
                addresses.add(ports.upstream(i));
            }
        }
        return addresses;
    }

    /** Returns the names of the processes that a target selects. */
    List<String> processNames(String target) {
        if (target.equals("store")) {
            return List.of("store");
        }
        List<String> names = new ArrayList<>();
        for (Host host : hosts) {
            for (String kind : List.of("node", "upstream")) {
                if (HostPattern.matches(target, kind, host)) {
                    names.add(kind + ":" + host.id());
                }
            }
        }
        return names;
    }

    /**
     * Returns the wasted executions of all upstreams. An upstream that does not respond is counted with no executions.
     */
    WastedExecutions wastedExecutions(List<RootRequest> roots, List<CallerGroup> groups) {
        List<WastedExecutions.Totals> totals = new ArrayList<>();
        for (int i = 0; i < hosts.size(); i++) {
            try {
                totals.add(WastedExecutions.Totals.of(
                        controlClient.get("http://" + ports.upstream(i) + "/.standin/executions")));
            } catch (IOException e) {
                System.err.println(
                        "no executions from the upstream of " + hosts.get(i).id() + ": " + e.getMessage());
            }
        }
        return WastedExecutions.of(totals, new CallTree(inventory, settings).requiredExecutions(roots, groups));
    }

    @Override
    public void close() {
        processes.close();
    }
}
