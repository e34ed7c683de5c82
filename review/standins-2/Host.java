import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** A machine with a backend in this process and its sidecar as a process of its own, run as the deploy file says. */
final class Host implements AutoCloseable {
    static final int OUTBOUND = 8548;
    static final int READY = 8546;
    static final int CONTROL = 8540;
    static final int APP = 8547;
    private static final long HEARTBEAT_MILLIS = 1_500;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final Bed bed;
    private final String name;
    private final String ip;
    private final String zone;
    private final String service;
    private final Backend backend;
    private final long bornMillis = System.currentTimeMillis();
    private final Path settings;
    private final Path log;
    private long sequence;
    private volatile boolean beating = true;
    private volatile Process process;

    Host(Bed bed, String name, String ip, String zone, String service, Backend backend) {
        this.bed = bed;
        this.name = name;
        this.ip = ip;
        this.zone = zone;
        this.service = service;
        this.backend = backend;
        settings = bed.directory().resolve(name + ".toml");
        log = bed.directory().resolve(name + ".log");
    }

    String name() {
        return name;
    }

    String ip() {
        return ip;
    }

    String service() {
        return service;
    }

    Backend backend() {
        return backend;
    }

    Path log() {
        return log;
    }

    Process process() {
        return process;
    }

    /** Starts the sidecar; {@code bootstrap} holds only for the first start of the whole system. */
    void start(boolean bootstrap) throws IOException {
        Files.writeString(settings, Template.fill(bed.template(), fields(bootstrap)));
        List<String> command = new ArrayList<>(List.of(bed.runCommand().split(" ")));
        ProcessBuilder builder = new ProcessBuilder(command)
                .directory(bed.repository().toFile())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("TREFOILLEDGE_SETTINGS", settings.toString());
        process = builder.start();
        bed.record().line("start " + name + " pid " + process.pid());
    }

    void startBeats() {
        Daemon.start(() -> {
            while (true) {
                if (beating) {
                    beat("ready");
                }
                Daemon.sleep(HEARTBEAT_MILLIS);
            }
        });
    }

    void stopBeats() {
        beating = false;
    }

    /** Sends a status report; returns the status of the answer, 0 without one within a second. */
    synchronized int beat(String state) {
        ObjectNode report = JSON.createObjectNode().put("address", ip + ":" + APP).put("born", bornMillis);
        report.putObject("info")
                .put("service", service)
                .put("version", "v1")
                .put("zone", zone)
                .put("slots", backend.slots());
        report.putObject("status").put("state", state).put("sequence", ++sequence).put("cold_remaining_s", 0);
        return call(CONTROL, "PUT /instances/" + backend.id(), report.toString());
    }

    boolean ready() {
        return call(READY, "GET /readyz", "") == 200;
    }

    /** Returns whether the sidecar's process is running. */
    boolean running() {
        return process.isAlive();
    }

    private int call(int port, String line, String body) {
        try (Socket socket = new Socket()) {
            socket.setSoTimeout(1_000);
            socket.connect(new InetSocketAddress(ip, port), 1_000);
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            String head = line + " HTTP/1.1\r\nHost: " + ip + ":" + port + "\r\nContent-Type: application/json\r\n"
                    + "Content-Length: " + bytes.length + "\r\nConnection: close\r\n\r\n";
            socket.getOutputStream().write((head + body).getBytes(StandardCharsets.UTF_8));
            InputStream in = socket.getInputStream();
            Map<String, String> answer = Backend.readHead(in);
            return answer == null ? 0 : Integer.parseInt(answer.get("").split(" ")[1]);
        } catch (IOException e) {
            return 0;
        }
    }

    void signal(String signal) throws IOException, InterruptedException {
        bed.record().line("signal " + signal + " to " + name);
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    void kill() throws InterruptedException {
        bed.record().line("kill " + name);
        process.destroyForcibly();
        process.waitFor(10, TimeUnit.SECONDS);
    }

    private ObjectNode fields(boolean bootstrap) {
        ObjectNode all = JSON.createObjectNode()
                .put("node", name)
                .put("role", "sidecar")
                .put("machine_class", "sidecar");
        all.putArray("serves").add("sidecar");
        all.put("ip", ip).put("zone", zone).put("region", "area");
        ObjectNode zones = all.putObject("zones");
        bed.zones().forEach(each -> zones.put(each, "area"));
        all.putObject("listen")
                .put("inbound", ip + ":8543")
                .put("outbound", ip + ":" + OUTBOUND)
                .put("ready", ip + ":" + READY)
                .put("control", ip + ":" + CONTROL);
        all.putArray("port_range").add(7000).add(7015);
        all.putArray("seeds");
        all.put("bootstrap", bootstrap).put("loss_counted", false);
        all.putObject("limits")
                .put("cpu_share", 0.6)
                .put("cpu_cores", 2)
                .put("memory_mb", 430)
                .put("max_fds", 4100)
                .put("link_mbps", 1000.0)
                .put("disk_mb", 0);
        all.putNull("data_dir").put("discovery", "static").put("entry", "static").put("heartbeat_s", 1.5);
        List.of("base", "drain", "config", "cost", "retry", "recover", "pressure", "tenants", "quota", "platform")
                .forEach(all.withArray("/contracts")::add);
        all.putObject("bounds")
                .put("seed_lag_s", 3)
                .put("addr_reuse_s", 2)
                .put("contact_s", 3)
                .put("ack_s", 4)
                .put("catch_up_s", 4)
                .put("drain_s", 2)
                .put("grace_s", 6)
                .put("loss_slack_s", 0.2)
                .put("config_apply_s", 2)
                .put("rollback_slack_s", 0.25)
                .put("max_skew_s", 5)
                .put("strict_revoke", true)
                .put("revoke_s", 5)
                .put("retry_budget_ratio", 0.2)
                .put("retry_window_s", 10)
                .put("retry_budget_slack", 50)
                .put("quota_window_s", 5)
                .put("quota_over", 0.1)
                .put("quota_slack", 20)
                .put("recovery_s", 15);
        all.put("app_addr", ip + ":" + APP).put("service", service);
        all.putObject("platform")
                .put("address", bed.storeAddress())
                .put("form", "kv")
                .put("writes_per_s", 400)
                .put("reads_per_s", 2000)
                .put("history_s", 20)
                .put("value_bytes", 1048576)
                .put("ttl_min_s", 1);
        return all;
    }

    @Override
    public void close() throws IOException {
        beating = false;
        if (process != null) {
            process.destroyForcibly();
            try {
                process.waitFor(10, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        backend.close();
    }
}
