import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A sound backend. The path of a request says what it does: {@code /PREFIX/WORK_MS/BYTES/}. It answers 421 to requests for
 * another instance, 503 with Not-Executed to those beyond its slots and its queue, and 504 at the time budget.
 */
final class Backend implements AutoCloseable {
    /** What the backend did with a request. Times are milliseconds of the record, -1 until then. */
    static final class Run {
        final AtomicInteger count = new AtomicInteger();
        volatile long startMillis = -1;
        volatile long answeredMillis = -1;
    }

    private final String id;
    private final int slots;
    private final int queue;
    private final Semaphore free;
    private final AtomicInteger present = new AtomicInteger();
    private final String ip;
    private final int port;
    private ServerSocket listener;
    private final RunLog record;
    private final Map<String, Run> runs = new ConcurrentHashMap<>();

    Backend(String ip, int port, String id, int slots, int queue, RunLog record) {
        this.id = id;
        this.slots = slots;
        this.queue = queue;
        this.record = record;
        free = new Semaphore(slots, true);
        this.ip = ip;
        this.port = port;
    }

    /** Starts to accept connections. */
    void listen() throws IOException {
        listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(new InetSocketAddress(InetAddress.getByName(ip), port), 1024);
        Daemon.start(this::accept);
    }

    String id() {
        return id;
    }

    int slots() {
        return slots;
    }

    /** Returns what the backend did with a request, null if it never began to work on it. */
    Run run(String requestId) {
        return runs.get(requestId);
    }

    int runs() {
        return runs.size();
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                Daemon.start(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream(), 65_536);
            Map<String, String> head = readHead(in);
            while (head != null) {
                in.skipNBytes(Long.parseLong(head.getOrDefault("content-length", "0")));
                answer(head, socket.getOutputStream());
                head = readHead(in);
            }
        } catch (IOException e) {
            // The system has closed the connection.
        }
    }

    private void answer(Map<String, String> head, OutputStream out) throws IOException {
        String request = head.get("request-id");
        String path = head.get("").split(" ")[1];
        if (path.equals("/healthz")) {
            write(out, "200 OK", "Instance-Id: " + id + "\r\n", new byte[0]);
            return;
        }
        String expected = head.get("expect-instance");
        if (expected != null && !expected.equals(id)) {
            write(out, "421 Misdirected Request", "Instance-Id: " + id + "\r\n", new byte[0]);
            return;
        }
        if (request == null) {
            write(out, "400 Bad Request", "Not-Executed: 1\r\n", new byte[0]);
            return;
        }
        String echo = "Request-Id: " + request + "\r\n";
        if (present.incrementAndGet() > slots + queue) {
            present.decrementAndGet();
            write(out, "503 Service Unavailable", echo + "Not-Executed: 1\r\n", new byte[0]);
            return;
        }
        try {
            free.acquireUninterruptibly();
            try {
                work(request, path.split("/"), head.get("deadline-ms"), echo, out);
            } finally {
                free.release();
            }
        } finally {
            present.decrementAndGet();
        }
    }

    private void work(String request, String[] path, String deadline, String echo, OutputStream out) throws IOException {
        Run run = runs.computeIfAbsent(request, each -> new Run());
        run.count.incrementAndGet();
        run.startMillis = record.millis();
        long work = Long.parseLong(path[2]);
        long budget = deadline == null ? Long.MAX_VALUE : Long.parseLong(deadline);
        Daemon.sleep(Math.min(work, budget));
        boolean inTime = work < budget;
        byte[] body = inTime ? body(request, Integer.parseInt(path[3])) : new byte[0];
        String signature = inTime ? "Response-Signature: s." + id + "." + body.length + "\r\n" : "";
        write(out, inTime ? "200 OK" : "504 Gateway Timeout", echo + signature, body);
        run.answeredMillis = record.millis();
    }

    /** Returns the body of the answer to a request, by which a client knows that it got its own answer. */
    static byte[] body(String request, int bytes) {
        byte[] body = new byte[bytes];
        Arrays.fill(body, (byte) '.');
        byte[] id = request.getBytes(StandardCharsets.US_ASCII);
        System.arraycopy(id, 0, body, 0, Math.min(id.length, bytes));
        return body;
    }

    private static void write(OutputStream out, String status, String headers, byte[] body) throws IOException {
        byte[] head = ("HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII);
        byte[] whole = Arrays.copyOf(head, head.length + body.length);
        System.arraycopy(body, 0, whole, head.length, body.length);
        out.write(whole);
        out.flush();
    }

    /** Reads the head of a message: its first line under "" and its fields by their lower-case names; null at the end. */
    static Map<String, String> readHead(InputStream in) throws IOException {
        Map<String, String> head = new HashMap<>();
        String line = readLine(in);
        if (line == null) {
            return null;
        }
        head.put("", line);
        for (line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            head.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip());
        }
        return line == null ? null : head;
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                return null;
            }
            line.append((char) next);
        }
        return line.toString().strip();
    }

    @Override
    public void close() throws IOException {
        if (listener != null) {
            listener.close();
        }
    }
}
