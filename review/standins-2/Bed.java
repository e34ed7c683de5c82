import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** A small deployment on loopback addresses: the store, the machines and the configuration of the operator. */
final class Bed implements AutoCloseable {
    private static final long START_MILLIS = 30_000;

    private final Path repository = Path.of("").toAbsolutePath();
    private final Path directory;
    private final RunLog record;
    private final List<String> zones;
    private final String network;
    private final Store store;
    private final String template;
    private final String runCommand;
    private final List<Host> hosts = new ArrayList<>();
    private final List<AutoCloseable> others = new ArrayList<>();

    Bed(RunLog record, List<String> zones) throws IOException {
        this.record = record;
        this.zones = zones;
        directory = Files.createTempDirectory("review-2-");
        network = freeNetwork();
        store = new Store(network + 2);
        template = Files.readString(repository.resolve("deploy/node.toml"));
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$")
                .matcher(Files.readString(repository.resolve("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("the deploy file has no run command");
        }
        runCommand = run.group(1);
        Runtime.getRuntime().addShutdownHook(new Thread(this::endAll));
    }

    /** Returns the first three numbers of a loopback network on which the ports of the machines are free. */
    private static String freeNetwork() throws IOException {
        Random random = new Random();
        for (int i = 0; i < 50; i++) {
            String network = "127." + (20 + random.nextInt(200)) + "." + random.nextInt(250) + ".";
            if (portsFree(network + 11)) {
                return network;
            }
        }
        throw new IOException("no loopback network with free ports");
    }

    private static boolean portsFree(String ip) {
        for (int port : new int[] {7000, 7001, Host.CONTROL, Host.READY, Host.APP, Host.OUTBOUND}) {
            try (ServerSocket socket = new ServerSocket()) {
                socket.bind(new InetSocketAddress(InetAddress.getByName(ip), port));
            } catch (IOException e) {
                return false;
            }
        }
        return true;
    }

    Path repository() {
        return repository;
    }

    Path directory() {
        return directory;
    }

    RunLog record() {
        return record;
    }

    List<String> zones() {
        return zones;
    }

    Store store() {
        return store;
    }

    String storeAddress() {
        return network + 2 + ":" + store.port();
    }

    String template() {
        return template;
    }

    String runCommand() {
        return runCommand;
    }

    List<Host> hosts() {
        return hosts;
    }

    Host addHost(String zone, String service, int slots, int queue) throws IOException {
        Host host = newHost(zone, service, slots, queue);
        host.backend().listen();
        return host;
    }

    private Host newHost(String zone, String service, int slots, int queue) {
        int number = hosts.size() + 1;
        String ip = network + (10 + number);
        Backend backend = new Backend(ip, Host.APP, "i-" + service + "-" + number, slots, queue, record);
        Host host = new Host(this, "sidecar-" + zone + "-" + number, ip, zone, service, backend);
        hosts.add(host);
        return host;
    }

    /** Starts a backend that takes the place of the sound one on a machine. */
    @FunctionalInterface
    interface OtherBackend {
        AutoCloseable listen(String ip) throws IOException;
    }

    /** Adds a machine with a backend of the case, which listens at the address of the machine's backend. */
    Host addHost(String zone, String service, int slots, int queue, OtherBackend other) throws IOException {
        Host host = newHost(zone, service, slots, queue);
        others.add(other.listen(host.ip()));
        return host;
    }

    /** Writes the configuration, starts all machines and waits until they are ready. */
    void start(String configuration) throws IOException {
        store.put("op/config", configuration);
        record.line("configuration " + configuration);
        for (Host host : hosts) {
            host.start(true);
        }
        hosts.forEach(Host::startBeats);
        long end = record.millis() + START_MILLIS;
        while (!hosts.stream().allMatch(Host::ready)) {
            if (record.millis() > end) {
                throw new IOException("the machines are not ready after " + START_MILLIS + " ms");
            }
            Daemon.sleep(100);
        }
        // The nodes learn of the backends of each other within a few seconds of their first status report.
        Daemon.sleep(4_000);
        record.line("ready");
    }

    private void endAll() {
        hosts.forEach(host -> {
            if (host.process() != null) {
                host.process().destroyForcibly();
            }
        });
    }

    @Override
    public void close() throws Exception {
        for (Host host : hosts) {
            host.close();
        }
        for (AutoCloseable other : others) {
            other.close();
        }
        store.close();
        if (System.getenv("KEEP_LOGS") != null) {
            System.out.println("logs in " + directory);
            return;
        }
        try (Stream<Path> files = Files.list(directory)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(directory);
    }
}
