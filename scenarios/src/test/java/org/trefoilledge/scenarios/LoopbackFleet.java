package org.trefoilledge.scenarios;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.InterruptedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.trefoilledge.core.config.KeyDigest;
import org.trefoilledge.standin.StoreLimits;
import org.trefoilledge.standin.StoreStandin;
import org.trefoilledge.standin.UpstreamState;

/** A fleet of node processes on loopback; the stand-ins run in this process. */
final class LoopbackFleet implements Fleet {
    static final String SERVICE = "print-orders";

    private static final Duration CONTROL_TIMEOUT = Duration.ofSeconds(3);
    private static final int COMMAND_SECONDS = 30;
    private static final int READY_SECONDS = 40;
    private static final int POLL_MILLIS = 50;
    private static final int SEEDS = 3;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final Loopback loopback = new Loopback();
    private final HttpClient control =
            HttpClient.newBuilder().connectTimeout(CONTROL_TIMEOUT).build();
    private final Path directory;
    private final StoreStandin store;
    private final Map<String, LoopbackHost> hosts = new LinkedHashMap<>();
    private final Set<String> ended = ConcurrentHashMap.newKeySet();
    private final AtomicInteger commands = new AtomicInteger();

    private LoopbackFleet(int zones, int hostsPerZone) throws IOException {
        directory = Files.createTempDirectory(Files.createDirectories(Path.of("target", "fleets")), "fleet");
        store = StoreStandin.start(loopback.address(1) + ":" + Loopback.STORE_PORT, StoreLimits.PLATFORM);
        for (int zone = 0; zone < zones; zone++) {
            for (int host = 1; host <= hostsPerZone; host++) {
                String letter = Character.toString('a' + zone);
                String address = loopback.address(2 + hosts.size());
                String name = letter + "-" + host;
                hosts.put(name, new LoopbackHost(name, "zone-" + letter, address, directory));
            }
        }
    }

    /** Starts a deployment and waits until every host serves requests. */
    static LoopbackFleet start(int zones, int hostsPerZone) throws IOException {
        LoopbackFleet fleet = new LoopbackFleet(zones, hostsPerZone);
        try {
            for (LoopbackHost host : fleet.hosts.values()) {
                host.start(fleet.store.endpoint(), fleet.seeds());
            }
            fleet.applyInventory();
            fleet.awaitReady();
            return fleet;
        } catch (IOException | RuntimeException | Error e) {
            fleet.close();
            throw e;
        }
    }

    private List<String> seeds() {
        return hosts.values().stream()
                .limit(SEEDS)
                .map(host -> host.listen(Loopback.PEERS_PORT))
                .toList();
    }

    private void applyInventory() throws IOException {
        Path file = directory.resolve("inventory.toml");
        Files.writeString(file, inventory());
        CommandResult result = command("apply", "--store", store.endpoint(), file.toString());
        if (result.exitCode() != 0) {
            throw new IOException("the inventory was not applied: " + result.output());
        }
    }

    private String inventory() {
        List<String> zones = hosts.values().stream()
                .map(host -> "\"" + host.zone() + "\"")
                .distinct()
                .toList();
        return """
                deployment = "scenarios"
                zones = [%s]

                [[service]]
                id = "%s"
                slots = 8
                connections = 100

                [[organisation]]
                id = "%s"
                rate = 2000.0
                burst = 2000
                key-digests = ["%s"]

                [[route]]
                id = "submit-order"
                method = "POST"
                path = "/orders"
                service = "print-orders"
                importance = "critical"
                idempotent = false

                [[route]]
                id = "pickup-lookup"
                method = "GET"
                path = "/pickups/*"
                service = "print-orders"
                importance = "high"
                idempotent = true
                """
                .formatted(
                        String.join(", ", zones),
                        SERVICE,
                        ORGANISATION,
                        KeyDigest.of(KEY).hex());
    }

    /** A host is ready when it has the configuration, sees all upstreams and answers a lookup. */
    private void awaitReady() throws IOException {
        long end = System.nanoTime() + Duration.ofSeconds(READY_SECONDS).toNanos();
        for (String host : hosts()) {
            String problem = problem(host);
            while (!problem.isEmpty()) {
                if (System.nanoTime() > end || !hosts.get(host).node().running()) {
                    throw new IOException(host + " is not ready: " + problem + "; logs are in " + directory);
                }
                pause();
                problem = problem(host);
            }
        }
    }

    private String problem(String host) {
        try {
            JsonNode status = status(host);
            if (status.path("revision").asLong() < 1) {
                return "it has no configuration";
            }
            long serving = status.path("members").findValuesAsText("state").stream()
                    .filter("serving"::equalsIgnoreCase)
                    .count();
            if (serving < hosts().size()) {
                return "it sees " + serving + " of " + hosts().size() + " upstreams";
            }
            int lookup = send(HttpRequest.newBuilder(URI.create(callers(host) + "/pickups/ready"))
                            .header("Authorization", "Bearer " + KEY))
                    .statusCode();
            return lookup == 200 ? "" : "a lookup got status " + lookup;
        } catch (IOException e) {
            return e.toString();
        }
    }

    private JsonNode status(String host) throws IOException {
        return JSON.readTree(
                send(HttpRequest.newBuilder(operators(host, "/status"))).body());
    }

    private URI operators(String host, String path) {
        return URI.create("http://" + hosts.get(host).listen(Loopback.OPERATORS_PORT) + path);
    }

    private HttpResponse<String> send(HttpRequest.Builder request) throws IOException {
        try {
            return control.send(request.timeout(CONTROL_TIMEOUT).build(), HttpResponse.BodyHandlers.ofString());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new InterruptedIOException("interrupted");
        }
    }

    private static void pause() throws IOException {
        try {
            Thread.sleep(POLL_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new InterruptedIOException("interrupted");
        }
    }

    @Override
    public List<String> hosts() {
        return hosts.keySet().stream().filter(host -> !ended.contains(host)).toList();
    }

    @Override
    public String zone(String host) {
        return hosts.get(host).zone();
    }

    @Override
    public URI callers(String host) {
        return URI.create("http://" + hosts.get(host).listen(Loopback.CALLERS_PORT));
    }

    @Override
    public StoreStandin store() {
        return store;
    }

    @Override
    public int executions(String id) {
        return hosts.values().stream().mapToInt(host -> host.executions(id)).sum();
    }

    @Override
    public long executionsOn(String host) {
        return hosts.values().stream()
                .filter(each -> host.isEmpty() || each.name().equals(host))
                .mapToLong(LoopbackHost::executions)
                .sum();
    }

    @Override
    public void slowDown(double factor) {
        hosts.values().forEach(host -> host.upstream()
                .apply(host.upstream().behaviour().withSlowdown(factor)));
    }

    @Override
    public void drainUpstream(String host) {
        var upstream = hosts.get(host).upstream();
        upstream.apply(upstream.behaviour().withState(UpstreamState.DRAINING));
    }

    @Override
    public void kill(String host) {
        ended.add(host);
        hosts.get(host).kill();
    }

    @Override
    public void freeze(String host) throws IOException {
        hosts.get(host).node().signal("STOP");
    }

    @Override
    public void resume(String host) throws IOException {
        hosts.get(host).node().signal("CONT");
    }

    @Override
    public void stop(String host) throws IOException {
        hosts.get(host).stop();
        ended.add(host);
    }

    @Override
    public void replace(String host) throws IOException {
        hosts.get(host).start(store.endpoint(), seeds());
        ended.remove(host);
        awaitReady();
    }

    @Override
    public void partition(String zone) throws IOException {
        List<String> inside =
                hosts().stream().filter(host -> zone(host).equals(zone)).toList();
        store.apply(store.faults().withBlockedClients(inside));
        for (String host : hosts()) {
            List<String> others = hosts.values().stream()
                    .map(LoopbackHost::zone)
                    .distinct()
                    .filter(other -> !other.equals(zone(host)))
                    .filter(other -> inside.contains(host) || other.equals(zone))
                    .toList();
            block(host, others);
        }
    }

    @Override
    public void heal() throws IOException {
        store.apply(store.faults().withBlockedClients(List.of()));
        for (String host : hosts()) {
            block(host, List.of());
        }
    }

    private void block(String host, List<String> zones) throws IOException {
        String body = JSON.writeValueAsString(Map.of("blockedZones", zones));
        HttpResponse<String> answer =
                send(HttpRequest.newBuilder(operators(host, "/faults")).PUT(HttpRequest.BodyPublishers.ofString(body)));
        if (answer.statusCode() != 200) {
            throw new IOException("status " + answer.statusCode() + " for a fault at " + host + ": " + answer.body());
        }
    }

    @Override
    public long revision(String host) throws IOException {
        return status(host).path("revision").asLong();
    }

    @Override
    public CommandResult operator(String command, String key) throws IOException {
        Path file = Files.writeString(directory.resolve("key-" + commands.incrementAndGet()), key);
        return command.equals("grant")
                ? command("grant", "--store", store.endpoint(), "--key-file", file.toString(), ORGANISATION)
                : command(command, "--store", store.endpoint(), file.toString());
    }

    private CommandResult command(String... arguments) throws IOException {
        Path output = directory.resolve("command-" + commands.incrementAndGet() + ".log");
        ChildProcess process = ChildProcess.start(output, "org.trefoilledge.operator.OperatorMain", arguments);
        try {
            return new CommandResult(process.await(COMMAND_SECONDS), Files.readString(output));
        } finally {
            process.kill();
        }
    }

    @Override
    public void close() {
        List<LoopbackHost> all = new ArrayList<>(hosts.values());
        all.forEach(LoopbackHost::end);
        store.close();
    }
}
