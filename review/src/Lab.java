import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * A small deployment on loopback addresses: the sidecars as the deploy file starts them, and stand-ins of the store, the
 * operator, the platform and the back ends. Each machine has a loopback address of its own.
 */
final class Lab implements AutoCloseable {
    static final double GRACE_S = 6;
    static final double HEARTBEAT_S = 1.5;
    static final double DRAIN_S = 2;
    static final ObjectMapper JSON = new ObjectMapper();

    private static final int CONTROL = 8540;
    private static final int STORE = 8545;
    private static final int READY = 8546;
    private static final int APP = 8547;
    private static final int OUTBOUND = 8548;
    private static final int PEERS = 7000;

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final List<Machine> machines = new ArrayList<>();
    final Store store;
    final ExecutorService threads = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    });
    private final long startNanos = System.nanoTime();
    private final PrintWriter record;
    private final Path temporary;
    private final String network;
    private final List<String> zones;
    private final Map<String, Integer> runs = new ConcurrentHashMap<>();

    Lab(String folder, List<String> zones) throws IOException {
        this.zones = zones;
        record = new PrintWriter(Files.newBufferedWriter(Path.of(folder, "record.txt")), true);
        temporary = Files.createTempDirectory("review");
        network = freeNetwork();
        store = new Store(network + ".250", STORE);
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
        Thread watchdog = new Thread(() -> {
            pause(115);
            note("the case did not end in time");
            Runtime.getRuntime().exit(2);
        });
        watchdog.setDaemon(true);
        watchdog.start();
        note("trouble %s, addresses %s.x", trouble ? "on" : "off", network);
    }

    /** Runs a case; exits with 1 if it reports a broken rule, 0 if not, 2 if it cannot run. */
    static void main(String folder, List<String> zones, Case test) {
        int code;
        try (Lab lab = new Lab(folder, zones)) {
            List<String> broken = test.run(lab);
            broken.forEach(line -> lab.note("BROKEN %s", line));
            lab.note("result: %s", broken.isEmpty() ? "the rule held" : broken.size() + " breaks of the rule");
            System.out.println(broken.isEmpty() ? "the rule held" : "the rule was broken, see record.txt");
            code = broken.isEmpty() ? 0 : 1;
        } catch (Exception e) {
            e.printStackTrace();
            code = 2;
        }
        Runtime.getRuntime().exit(code);
    }

    interface Case {
        List<String> run(Lab lab) throws Exception;
    }

    double now() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    void note(String format, Object... arguments) {
        record.printf(Locale.ROOT, "%8.3f %s%n", now(), String.format(Locale.ROOT, format, arguments));
    }

    static void pause(double seconds) {
        try {
            TimeUnit.NANOSECONDS.sleep((long) (seconds * 1e9));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }

    void waitUntil(double time) {
        double left = time - now();
        if (left > 0) {
            pause(left);
        }
    }

    /** Adds a machine and starts its back end and its sidecar. */
    Machine addMachine(String zone, String service, int slots) throws IOException {
        Machine machine = new Machine("sidecar-" + zone + "-" + (machines.size() + 1), zone, service, slots);
        machines.add(machine);
        machine.startSidecar(true);
        return machine;
    }

    /** Waits until all sidecars are ready and each has a proper answer for each path. */
    void awaitReady(List<Client.Request> probes) throws Exception {
        double end = now() + 40;
        for (Machine machine : machines) {
            while (!machine.isReady()) {
                if (now() > end) {
                    throw new IOException(machine.name + " did not become ready");
                }
                pause(0.1);
            }
        }
        for (Machine machine : machines) {
            for (Client.Request probe : probes) {
                Client.Answer answer = null;
                while (answer == null || answer.status != 200) {
                    if (now() > end) {
                        throw new IOException("no answer on " + machine.name);
                    }
                    try (Client client = new Client(this, machine)) {
                        answer = client.send(probe.withNewId());
                    }
                    pause(0.05);
                }
            }
        }
        note("all machines are ready");
    }

    private static String freeNetwork() throws IOException {
        for (int i = 0; i < 50; i++) {
            String network = "127." + ThreadLocalRandom.current().nextInt(1, 250) + "."
                    + ThreadLocalRandom.current().nextInt(1, 250);
            try (ServerSocket first = new ServerSocket(STORE, 1, InetAddress.getByName(network + ".250"));
                    ServerSocket second = new ServerSocket(7001, 1, InetAddress.getByName(network + ".1"))) {
                return network;
            } catch (IOException inUse) {
                // Another network follows.
            }
        }
        throw new IOException("no free loopback addresses");
    }

    private void killAll() {
        machines.forEach(Machine::kill);
    }

    @Override
    public void close() throws IOException {
        killAll();
        for (Machine machine : machines) {
            note("log of %s, %d bytes", machine.name, Files.size(machine.log));
        }
        String keep = System.getenv("KEEP_LOGS");
        if (keep == null) {
            try (Stream<Path> files = Files.walk(temporary)) {
                for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(file);
                }
            }
        } else {
            System.out.println("logs: " + temporary);
        }
    }

    /** A machine: a back end, a sidecar, and the platform's view of them. */
    final class Machine {
        final String name;
        final String zone;
        final String service;
        final String ip;
        final Backend backend;
        final Path settings;
        final Path log;
        volatile Process process;
        volatile double startedAt;
        volatile double sigtermAt = Double.NaN;
        volatile boolean stopping;
        private volatile int misses;

        Machine(String name, String zone, String service, int slots) throws IOException {
            this.name = name;
            this.zone = zone;
            this.service = service;
            this.ip = network + "." + (machines.size() + 1);
            this.settings = temporary.resolve(name + ".toml");
            this.log = temporary.resolve(name + ".log");
            this.backend = new Backend(Lab.this, this, slots);
        }

        InetSocketAddress outbound() {
            return new InetSocketAddress(ip, OUTBOUND);
        }

        InetSocketAddress control() {
            return new InetSocketAddress(ip, CONTROL);
        }

        void startSidecar(boolean bootstrap) throws IOException {
            Files.writeString(settings, settingsText(bootstrap));
            ProcessBuilder builder = new ProcessBuilder(runCommand());
            builder.environment().keySet().removeIf(key -> !List.of("PATH", "HOME", "JAVA_HOME", "LANG").contains(key));
            builder.environment().put("TREFOILLEDGE_SETTINGS", settings.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            stopping = false;
            process = builder.start();
            startedAt = now();
            note("%s: sidecar started, process %d", name, process.pid());
            Process started = process;
            started.onExit().thenRun(() -> note("%s: process %d ended with %d%s",
                    name, started.pid(), started.exitValue(), stopping ? "" : " by itself"));
        }

        private String settingsText(boolean bootstrap) throws IOException {
            Map<String, String> values = new HashMap<>();
            values.put("node", name);
            values.put("zone", zone);
            values.put("bootstrap", Boolean.toString(bootstrap));
            values.put("service", service);
            values.put("app_addr", ip + ":" + APP);
            values.put("listen.outbound", ip + ":" + OUTBOUND);
            values.put("listen.ready", ip + ":" + READY);
            values.put("listen.control", ip + ":" + CONTROL);
            values.put("ip", ip);
            values.put("port_range.0", Integer.toString(PEERS));
            values.put("platform.address", network + ".250:" + STORE);
            values.put("bounds.grace_s", "6");
            values.put("bounds.revoke_s", "5");
            values.put("heartbeat_s", "1.5");
            values.put("bounds.retry_budget_ratio", "0.2");
            values.put("bounds.retry_budget_slack", "50");
            values.put("bounds.quota_over", "0.1");
            values.put("bounds.quota_slack", "20");
            values.put("bounds.quota_window_s", "5");
            StringBuilder zoneList = new StringBuilder();
            zones.forEach(each -> zoneList.append(zoneList.length() > 0 ? "," : "").append('"').append(each).append('"'));
            String template = Files.readString(Path.of("deploy/node.toml"))
                    .replaceAll("\\{\\{#zones}}.*?\\{\\{/zones}}", zoneList.toString());
            Matcher matcher = Pattern.compile("\\{\\{([a-z0-9_.]+)}}").matcher(template);
            return matcher.replaceAll(result -> {
                String value = values.get(result.group(1));
                if (value == null) {
                    throw new IllegalStateException("the template has an unknown field: " + result.group(1));
                }
                return value;
            });
        }

        boolean isReady() {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(ip, READY), 900);
                socket.setSoTimeout(900);
                socket.getOutputStream()
                        .write(("GET /readyz HTTP/1.1\r\nHost: " + ip + "\r\nConnection: close\r\n\r\n")
                                .getBytes(StandardCharsets.US_ASCII));
                String line = Http.readLine(new BufferedInputStream(socket.getInputStream()));
                return line != null && line.startsWith("HTTP/1.1 200");
            } catch (IOException e) {
                return false;
            }
        }

        /** Asks for readiness once a second, as the platform does. */
        void watchReadiness() {
            threads.execute(() -> {
                while (true) {
                    boolean ready = isReady();
                    int before = misses;
                    misses = ready ? 0 : misses + 1;
                    if (before < 2 && misses == 2) {
                        note("%s: taken out after two misses", name);
                    } else if (before >= 2 && ready) {
                        note("%s: in again", name);
                    }
                    pause(1);
                }
            });
        }

        /** Whether the platform gives new work to clients here: it does so if fewer than half of the zone are in. */
        boolean clientsGetWork() {
            if (misses < 2) {
                return true;
            }
            List<Machine> peers =
                    machines.stream().filter(each -> each.zone.equals(zone)).toList();
            return 2 * peers.stream().filter(each -> each.misses < 2).count() < peers.size();
        }

        /** Sends SIGTERM, waits for the end, at most for the grace period, and starts the sidecar again. */
        void stopAndStart() throws Exception {
            stopping = true;
            sigtermAt = now();
            note("%s: SIGTERM to process %d", name, process.pid());
            process.destroy();
            if (!process.waitFor((long) (GRACE_S * 1000), TimeUnit.MILLISECONDS)) {
                process.destroyForcibly().waitFor();
            }
            pause(0.3);
            startSidecar(false);
        }

        /** Kills the sidecar without a signal that it could handle, and starts it again. */
        void killAndStart() throws Exception {
            note("%s: SIGKILL to process %d", name, process.pid());
            stopping = true;
            process.destroyForcibly().waitFor();
            pause(0.3);
            startSidecar(false);
        }

        void kill() {
            if (process != null && process.isAlive()) {
                stopping = true;
                process.destroyForcibly().onExit().join();
            }
        }
    }

    private static List<String> runCommand() throws IOException {
        Matcher matcher = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!matcher.find()) {
            throw new IOException("deploy/system.toml has no command");
        }
        return List.of(matcher.group(1).split(" "));
    }

    /** Writes a configuration with one route, as the operator does. */
    void operatorWrites(String host, String kind, String service) {
        store.put("op/config", String.format(
                """
                {"version":7,"routes":{"r-1":{"host":"%s","path_prefix":"/jobs/","kind":"%s","timeout_s":6,
                "target_latency_s":1.5,"priority":1,"service":"%s","max_attempts":2,"public":false}},
                "services":{"%s":{"health_path":"/healthz","max_connections":1336,"protocol":"h1","tls":false}},
                "limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}
                """,
                host, kind, service, service));
        note("operator: configuration confirmed");
    }

    int countRun(String id) {
        return runs.merge(id, 1, Integer::sum);
    }

    boolean hasRun(String id) {
        return runs.containsKey(id);
    }

    /** HTTP/1.1 as far as the stand-ins need it. */
    static final class Http {
        private Http() {}

        static String readLine(InputStream in) throws IOException {
            StringBuilder line = new StringBuilder();
            for (int next = in.read(); next != '\n'; next = in.read()) {
                if (next < 0) {
                    return null;
                }
                line.append((char) next);
            }
            return line.toString().strip();
        }

        /** Reads a head; the first line is under "". Returns null at the end of the input. */
        static Map<String, String> readHead(InputStream in) throws IOException {
            String first = readLine(in);
            if (first == null) {
                return null;
            }
            Map<String, String> head = new HashMap<>();
            head.put("", first);
            for (String line = readLine(in); !"".equals(line); line = readLine(in)) {
                if (line == null) {
                    return null;
                }
                int colon = line.indexOf(':');
                head.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
            }
            return head;
        }

        static long bodyLength(Map<String, String> head) {
            return Long.parseLong(head.getOrDefault("content-length", "0"));
        }
    }

    /**
     * A back end: runs as many requests at once as it has slots and queues the others. Its path says how long it works
     * and how long its answer is: /jobs/NAME/MILLIS/BYTES.
     */
    static final class Backend {
        final String id;
        final long born = System.currentTimeMillis();
        volatile double slowdown = 1;
        volatile boolean beating = true;
        private final Lab lab;
        private final Machine machine;
        private final int slots;
        private final java.util.concurrent.Semaphore running;
        private final AtomicInteger sequence = new AtomicInteger();
        private final java.util.Set<Socket> connections = ConcurrentHashMap.newKeySet();
        private final ServerSocket listener;
        private volatile boolean ended;
        final List<Run> served = java.util.Collections.synchronizedList(new ArrayList<>());

        /** A request that ran: when it came and when its work ended. */
        static final class Run {
            final String id;
            final double from;
            volatile double to = Double.NaN;

            Run(String id, double from) {
                this.id = id;
                this.from = from;
            }
        }

        Backend(Lab lab, Machine machine, int slots) throws IOException {
            this.lab = lab;
            this.machine = machine;
            this.slots = slots;
            this.id = "i-" + Long.toHexString(ThreadLocalRandom.current().nextLong() >>> 16);
            this.running = new java.util.concurrent.Semaphore(slots, true);
            this.listener = new ServerSocket(APP, 1_000, InetAddress.getByName(machine.ip));
            lab.threads.execute(this::accept);
            lab.threads.execute(this::beat);
        }

        private void beat() {
            while (true) {
                if (beating) {
                    announce("PUT", report("ready"));
                }
                pause(HEARTBEAT_S);
            }
        }

        /** Returns the next status report. */
        String report(String state) {
            return String.format(
                    Locale.ROOT,
                    "{\"address\":\"%s:%d\",\"info\":{\"service\":\"%s\",\"version\":\"v1\",\"zone\":\"%s\",\"slots\":%d},"
                            + "\"status\":{\"state\":\"%s\",\"sequence\":%d,\"cold_remaining_s\":0},\"born\":%d}",
                    machine.ip, APP, machine.service, machine.zone, slots, state, sequence.incrementAndGet(), born);
        }

        /** Sends a report; returns the status, or 0 without an answer within a second. */
        int announce(String method, String body) {
            try (Socket socket = new Socket()) {
                socket.connect(machine.control(), 1_000);
                socket.setSoTimeout(1_000);
                String head = method + " /instances/" + id + " HTTP/1.1\r\nHost: " + machine.ip
                        + "\r\nContent-Type: application/json\r\nContent-Length: " + body.length()
                        + "\r\nConnection: close\r\n\r\n";
                socket.getOutputStream().write((head + body).getBytes(StandardCharsets.US_ASCII));
                String line = Http.readLine(new BufferedInputStream(socket.getInputStream()));
                return line == null ? 0 : Integer.parseInt(line.split(" ")[1]);
            } catch (IOException e) {
                return 0;
            }
        }

        /** Ends the back end, with the requests at which it is at work. */
        void end() throws IOException {
            ended = true;
            beating = false;
            listener.close();
            for (Socket socket : connections) {
                socket.close();
            }
            lab.note("%s: back end ended", machine.name);
        }

        private void accept() {
            while (true) {
                try {
                    Socket socket = listener.accept();
                    connections.add(socket);
                    lab.threads.execute(() -> serve(socket));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                socket.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(socket.getInputStream(), 65_536);
                OutputStream out = socket.getOutputStream();
                for (Map<String, String> head = Http.readHead(in); head != null; head = Http.readHead(in)) {
                    in.skipNBytes(Http.bodyLength(head));
                    out.write(answer(head));
                    out.flush();
                }
            } catch (IOException e) {
                if (!ended) {
                    lab.note("%s: back end lost a connection: %s", machine.name, e.getMessage());
                }
            } finally {
                connections.remove(socket);
            }
        }

        private byte[] answer(Map<String, String> head) {
            String requestId = head.getOrDefault("request-id", "");
            String expected = head.get("expect-instance");
            if (expected != null && !expected.equals(id)) {
                return response("421 Misdirected Request", requestId, "Not-Executed: 1\r\n", new byte[0]);
            }
            String[] path = head.get("").split(" ")[1].split("/");
            if (path.length < 5) {
                return response("404 Not Found", requestId, "", new byte[0]);
            }
            running.acquireUninterruptibly();
            try {
                Run run = new Run(requestId, lab.now());
                served.add(run);
                lab.countRun(requestId);
                lab.note("%s: runs %s", machine.name, requestId);
                pause(Integer.parseInt(path[3]) * slowdown / 1000);
                run.to = lab.now();
            } finally {
                running.release();
            }
            byte[] body = new byte[Integer.parseInt(path[4])];
            java.util.Arrays.fill(body, (byte) requestId.charAt(requestId.length() - 1));
            return response("200 OK", requestId, "Response-Signature: s." + requestId + "\r\n", body);
        }

        private static byte[] response(String status, String requestId, String more, byte[] body) {
            byte[] head = ("HTTP/1.1 " + status + "\r\nRequest-Id: " + requestId + "\r\n" + more + "Content-Length: "
                            + body.length + "\r\n\r\n")
                    .getBytes(StandardCharsets.US_ASCII);
            byte[] all = java.util.Arrays.copyOf(head, head.length + body.length);
            System.arraycopy(body, 0, all, head.length, body.length);
            return all;
        }
    }

    /** A client of a machine, with one connection. */
    static final class Client implements AutoCloseable {
        private static final AtomicInteger LAST_ID = new AtomicInteger();
        final Machine machine;
        Socket socket;
        private final Lab lab;
        private InputStream in;

        record Request(String id, String method, String host, String path, int bodyBytes, int deadlineMillis) {
            Request withNewId() {
                return new Request(newId(), method, host, path, bodyBytes, deadlineMillis);
            }
        }

        /** An answer; the status is 0 if the connection ended without a complete answer. */
        static final class Answer {
            final int status;
            final long bodyBytes;
            final boolean complete;
            final boolean close;
            final String error;

            Answer(int status, long bodyBytes, boolean complete, boolean close, String error) {
                this.status = status;
                this.bodyBytes = bodyBytes;
                this.complete = complete;
                this.close = close;
                this.error = error;
            }

            @Override
            public String toString() {
                return complete ? Integer.toString(status) : "no complete answer (" + error + ", status " + status
                        + ", " + bodyBytes + " bytes of the body)";
            }
        }

        static String newId() {
            return String.format(Locale.ROOT, "%08x", 0x10000000 + LAST_ID.incrementAndGet());
        }

        Client(Lab lab, Machine machine) {
            this.lab = lab;
            this.machine = machine;
        }

        void connect(int receiveBuffer) throws IOException {
            socket = new Socket();
            if (receiveBuffer > 0) {
                socket.setReceiveBufferSize(receiveBuffer);
            }
            socket.setTcpNoDelay(true);
            socket.connect(machine.outbound(), 1_000);
            in = new BufferedInputStream(socket.getInputStream(), 65_536);
        }

        boolean connected() {
            return socket != null && !socket.isClosed();
        }

        void write(Request request) throws IOException {
            String head = request.method + " " + request.path + " HTTP/1.1\r\nHost: " + request.host + "\r\nRequest-Id: "
                    + request.id + "\r\nDeadline-Ms: " + request.deadlineMillis + "\r\n"
                    + (request.bodyBytes > 0 ? "Content-Length: " + request.bodyBytes + "\r\n" : "") + "\r\n";
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            bytes.writeBytes(head.getBytes(StandardCharsets.US_ASCII));
            bytes.writeBytes(new byte[request.bodyBytes]);
            bytes.writeTo(socket.getOutputStream());
            lab.note("%s: client sent %s", machine.name, request.id);
        }

        /** Reads an answer, at most the given bytes a second. */
        Answer read(double timeoutSeconds, double bytesPerSecond) {
            long bytes = 0;
            int status = 0;
            double begin = lab.now();
            double end = begin + timeoutSeconds;
            try {
                socket.setSoTimeout((int) Math.max(1, timeoutSeconds * 1000));
                Map<String, String> head = Http.readHead(in);
                if (head == null) {
                    return new Answer(0, 0, false, true, "connection closed");
                }
                status = Integer.parseInt(head.get("").split(" ")[1]);
                long length = Http.bodyLength(head);
                byte[] buffer = new byte[16_384];
                while (bytes < length) {
                    socket.setSoTimeout((int) Math.max(1, (end - lab.now()) * 1000));
                    int read = in.read(buffer, 0, (int) Math.min(buffer.length, length - bytes));
                    if (read < 0) {
                        return new Answer(status, bytes, false, true, "connection closed");
                    }
                    bytes += read;
                    if (bytesPerSecond > 0) {
                        lab.waitUntil(begin + bytes / bytesPerSecond);
                    }
                }
                return new Answer(
                        status, bytes, true, "close".equalsIgnoreCase(head.getOrDefault("connection", "")), "");
            } catch (java.net.SocketTimeoutException e) {
                return new Answer(status, bytes, false, true, "gave up");
            } catch (IOException e) {
                return new Answer(status, bytes, false, true, String.valueOf(e.getMessage()));
            }
        }

        /** Sends a request on the open connection, or on a new one, and reads the answer. */
        Answer send(Request request) {
            try {
                if (!connected()) {
                    connect(0);
                }
                write(request);
            } catch (IOException e) {
                close();
                return new Answer(0, 0, false, true, "not sent: " + e.getMessage());
            }
            Answer answer = read(request.deadlineMillis / 1000.0 + 0.5, 0);
            if (answer.close) {
                close();
            }
            lab.note("%s: client got %s for %s", machine.name, answer, request.id);
            return answer;
        }

        @Override
        public void close() {
            try {
                if (socket != null) {
                    socket.close();
                }
            } catch (IOException e) {
                lab.note("cannot close a connection: %s", e.getMessage());
            }
            socket = null;
        }
    }

    /** The platform's store: conditional writes, watches and leases. */
    static final class Store {
        private static final long MAX_WAIT_MILLIS = 30_000;
        private final Map<String, ObjectNode> items = new TreeMap<>();
        private final List<ObjectNode> events = new ArrayList<>();
        private final Map<Long, long[]> leases = new HashMap<>();
        private long revision = 1;
        private long lastLease;

        private record Answer(int status, ObjectNode body) {}

        Store(String ip, int port) throws IOException {
            HttpServer server = HttpServer.create(new InetSocketAddress(ip, port), 1_000);
            server.setExecutor(Executors.newCachedThreadPool(task -> {
                Thread thread = new Thread(task);
                thread.setDaemon(true);
                return thread;
            }));
            server.createContext("/", this::handle);
            server.start();
        }

        synchronized void put(String key, String value) {
            write(key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), 0);
        }

        private void handle(HttpExchange exchange) throws IOException {
            Answer answer;
            try {
                answer = answer(exchange, exchange.getRequestBody().readAllBytes());
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
            byte[] body = answer.body.toString().getBytes(StandardCharsets.UTF_8);
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(answer.status, body.length);
            exchange.getResponseBody().write(body);
            exchange.close();
        }

        private synchronized Answer answer(HttpExchange exchange, byte[] request) throws IOException, InterruptedException {
            endLeases();
            String path = exchange.getRequestURI().getPath();
            Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
            switch (path) {
                case "/kv-key":
                    ObjectNode item = items.get(query.get("key"));
                    return item == null ? empty(404) : new Answer(200, item.deepCopy().put("store_revision", revision));
                case "/kv-range":
                    return list(query.get("path_prefix"), query.getOrDefault("after", ""));
                case "/kv-watch":
                    return watch(query);
                case "/kv-txn":
                    return transact(JSON.readTree(request));
                case "/kv-lease":
                    double seconds = Math.max(1, JSON.readTree(request).path("ttl_s_time").asDouble());
                    long length = (long) (seconds * 1e9);
                    leases.put(++lastLease, new long[] {length, System.nanoTime() + length});
                    return new Answer(200, JSON.createObjectNode().put("lease", lastLease).put("ttl_s_time", seconds));
                default:
                    return leaseCall(path);
            }
        }

        private Answer leaseCall(String path) {
            long id = Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
            long[] lease = leases.get(id);
            if (lease == null) {
                return empty(404);
            }
            lease[1] = System.nanoTime() + (path.startsWith("/kv-keep/") ? lease[0] : 0);
            endLeases();
            return empty(200);
        }

        private static Answer empty(int status) {
            return new Answer(status, JSON.createObjectNode());
        }

        private Answer list(String prefix, String after) {
            ObjectNode listing = JSON.createObjectNode().put("store_revision", revision).put("more_pages", false);
            ArrayNode listed = listing.putArray("items");
            items.forEach((key, item) -> {
                if (key.startsWith(prefix) && key.compareTo(after) > 0) {
                    listed.add(item);
                }
            });
            return new Answer(200, listing);
        }

        private Answer watch(Map<String, String> query) throws InterruptedException {
            long after = Long.parseLong(query.get("after"));
            long wait = Math.min(MAX_WAIT_MILLIS, Long.parseLong(query.get("wait_ms")));
            long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(wait);
            while (true) {
                ObjectNode changes = JSON.createObjectNode().put("store_revision", revision);
                ArrayNode listed = changes.putArray("events");
                for (ObjectNode event : events) {
                    if (event.path("revision").asLong() > after
                            && event.path("key").asText().startsWith(query.get("path_prefix"))) {
                        listed.add(event);
                    }
                }
                long left = end - System.nanoTime();
                if (!listed.isEmpty() || left <= 0) {
                    return new Answer(200, changes);
                }
                TimeUnit.NANOSECONDS.timedWait(this, Math.min(left, 100_000_000));
                endLeases();
            }
        }

        private Answer transact(JsonNode transaction) {
            for (JsonNode row : transaction.path("expect")) {
                ObjectNode item = items.get(row.path("key").asText());
                if ((item == null ? 0 : item.path("revision").asLong()) != row.path("revision").asLong()) {
                    return empty(412);
                }
            }
            for (JsonNode written : transaction.path("writes")) {
                long lease = written.path("lease").asLong();
                if (lease != 0 && !leases.containsKey(lease)) {
                    return empty(404);
                }
            }
            transaction.path("writes").forEach(written -> write(
                    written.path("key").asText(),
                    written.path("value").asText(),
                    written.path("lease").asLong()));
            transaction.path("remove").forEach(key -> remove(key.asText()));
            return new Answer(200, JSON.createObjectNode().put("revision", revision));
        }

        private void write(String key, String value, long lease) {
            ObjectNode before = items.get(key);
            ObjectNode item = JSON.createObjectNode()
                    .put("key", key)
                    .put("value", value)
                    .put("revision", ++revision)
                    .put("created_rev", before == null ? revision : before.path("created_rev").asLong())
                    .put("lease", lease);
            items.put(key, item);
            events.add(item);
            notifyAll();
        }

        private void remove(String key) {
            if (items.remove(key) != null) {
                events.add(JSON.createObjectNode().put("key", key).put("revision", ++revision).put("removed", true));
                notifyAll();
            }
        }

        private void endLeases() {
            long now = System.nanoTime();
            leases.values().removeIf(lease -> lease[1] - now <= 0);
            List.copyOf(items.values()).forEach(item -> {
                long lease = item.path("lease").asLong();
                if (lease != 0 && !leases.containsKey(lease)) {
                    remove(item.path("key").asText());
                }
            });
        }

        private static Map<String, String> query(String raw) {
            Map<String, String> fields = new HashMap<>();
            for (String field : raw == null ? new String[0] : raw.split("&")) {
                int end = field.indexOf('=');
                fields.put(field.substring(0, end), URLDecoder.decode(field.substring(end + 1), StandardCharsets.UTF_8));
            }
            return fields;
        }
    }
}
