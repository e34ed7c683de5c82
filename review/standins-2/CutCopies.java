import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One of two backends is faulty: some time after a few of its answers, it sends the beginning of a second copy of the answer
 * on the same connection. Otherwise it serves each request as a sound one does.
 */
final class CutCopies {
    private static final String CONFIGURATION = "{\"version\":3,\"routes\":{\"r-orders\":{\"host\":\"orders.example\","
            + "\"path_prefix\":\"/orders/\",\"kind\":\"unsafe\",\"timeout_s\":6,\"target_latency_s\":1.5,\"priority\":0,"
            + "\"service\":\"orders\",\"max_attempts\":2,\"public\":true}},\"services\":{\"orders\":{\"health_path\":"
            + "\"/healthz\",\"max_connections\":1336,\"protocol\":\"h1\",\"tls\":false},\"desk\":{\"health_path\":"
            + "\"/healthz\",\"max_connections\":1336,\"protocol\":\"h1\",\"tls\":false}},\"limits\":{"
            + "\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout_s\":3,\"idle_timeout_s\":15}}";
    private static final int CLIENTS = 30;
    private static final long RUN_MILLIS = 40_000;
    private static final long PAUSE_MILLIS = 60;
    /** One in so many answers is followed by a copy: 0.03, as the site file has it for spoilt answers. */
    private static final int ANSWERS_PER_COPY = 34;
    private static final long TIMEOUT_MILLIS = 6_000;
    /** Time after an answer at which the copy comes. */
    private static final long COPY_DELAY_MILLIS = 20;

    /** Which answers are copied, and where the copies are cut. */
    private enum Mode {
        /** Any answers, cut at any place of their head. */
        ANY,
        /** Answers that say that a request has not run, cut after the line that says so. */
        SHED
    }

    private CutCopies() {}

    /** What the faulty backend answered to a request. */
    private record Given(int status, String signature, AtomicInteger runs) {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status;
        try (RunLog record = new RunLog(Path.of(arguments[0]))) {
            status = run(record, trouble, Mode.valueOf(arguments[1]));
        } catch (IOException e) {
            System.err.println("the case could not run: " + e);
            status = 2;
        }
        System.exit(status);
    }

    private static int run(RunLog record, boolean trouble, Mode mode) throws Exception {
        try (Bed bed = new Bed(record, List.of("z-a", "z-b"))) {
            Host front = bed.addHost("z-a", "desk", 60, 192);
            Map<String, Given> given = new ConcurrentHashMap<>();
            Faulty faulty = new Faulty(record, given, trouble, mode);
            Faulty sound = new Faulty(record, given, false, mode);
            bed.addHost("z-a", "orders", 60, 192, faulty::listen);
            bed.addHost("z-b", "orders", 60, 192, sound::listen);
            bed.start(CONFIGURATION);
            ConcurrentLinkedQueue<Client.Outcome> outcomes = new ConcurrentLinkedQueue<>();
            long end = record.millis() + RUN_MILLIS;
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                Thread thread = Daemon.thread(() -> {
                    try (Client client = new Client(front, record)) {
                        while (record.millis() < end) {
                            outcomes.add(client.send(
                                    "POST",
                                    "orders.example",
                                    "/orders/new",
                                    TIMEOUT_MILLIS,
                                    TIMEOUT_MILLIS + 500,
                                    "one order".getBytes(StandardCharsets.US_ASCII)));
                            Daemon.sleep(PAUSE_MILLIS);
                        }
                    }
                });
                clients.add(thread);
                thread.start();
            }
            for (Thread thread : clients) {
                thread.join();
            }
            record.say("copies sent: " + faulty.copies.get() + " after " + faulty.requests.get() + " answers");
            return judge(given, outcomes, record, mode);
        }
    }

    private static int judge(Map<String, Given> all, Iterable<Client.Outcome> outcomes, RunLog record, Mode mode) {
        Map<String, Integer> counts = new TreeMap<>();
        int falseSuccesses = 0;
        int falseFailures = 0;
        int twice = 0;
        int refused = 0;
        for (Client.Outcome outcome : outcomes) {
            Given given = all.get(outcome.id());
            int runs = given == null ? 0 : given.runs().get();
            String key = "backend " + (given == null ? "nothing" : given.status()) + " in " + runs + " runs, client "
                    + (outcome.end() == Client.End.ANSWERED ? outcome.status() : outcome.end())
                    + (outcome.signature().isEmpty() ? "" : " with signature");
            counts.merge(key, 1, Integer::sum);
            record.line(outcome.id() + " sent " + outcome.sentMillis() + " " + key + " " + outcome.signature());
            twice += runs > 1 ? 1 : 0;
            if (outcome.end() != Client.End.ANSWERED || given == null) {
                continue;
            }
            boolean success = outcome.status() / 100 == 2;
            refused += outcome.status() == 503 || outcome.status() == 429 ? 1 : 0;
            if (runs == 1) {
                falseSuccesses += success && given.status() / 100 != 2 ? 1 : 0;
                falseFailures += !success
                                && outcome.status() != given.status()
                                && outcome.signature().equals(given.signature())
                        ? 1
                        : 0;
            }
        }
        counts.forEach((key, count) -> record.say(count + " x " + key));
        record.say("MIXED: " + falseSuccesses + " successes where the backend had answered with a failure, " + falseFailures
                + " failures with the backend's signature and another status");
        record.say("TWICE: " + twice + " requests that are not idempotent ran more than once");
        record.say("REFUSED: " + refused + " requests were answered 429 or 503 and have run");
        return (mode == Mode.ANY ? falseSuccesses + falseFailures : twice) > 0 ? 1 : 0;
    }

    /**
     * A backend that answers each third request with a failure of its own, and each eleventh with 503 and Not-Executed, as
     * one that is full. Only the faulty one sends copies.
     */
    private static final class Faulty implements AutoCloseable {
        private final RunLog record;
        private final Map<String, Given> given;
        private final boolean faulty;
        private final Mode mode;
        private final Random random = new Random(1);
        private final AtomicInteger requests = new AtomicInteger();
        private final AtomicInteger copies = new AtomicInteger();
        private ServerSocket listener;

        Faulty(RunLog record, Map<String, Given> given, boolean faulty, Mode mode) {
            this.record = record;
            this.given = given;
            this.faulty = faulty;
            this.mode = mode;
        }

        AutoCloseable listen(String ip) throws IOException {
            listener = new ServerSocket();
            listener.setReuseAddress(true);
            listener.bind(new InetSocketAddress(InetAddress.getByName(ip), Host.APP), 1024);
            Daemon.start(() -> {
                while (!listener.isClosed()) {
                    try {
                        Socket socket = listener.accept();
                        Daemon.start(() -> serve(socket));
                    } catch (IOException e) {
                        return;
                    }
                }
            });
            return this;
        }

        private void serve(Socket socket) {
            try (socket) {
                socket.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                OutputStream out = socket.getOutputStream();
                for (Map<String, String> head = Backend.readHead(in); head != null; head = Backend.readHead(in)) {
                    in.skipNBytes(Long.parseLong(head.getOrDefault("content-length", "0")));
                    answer(head.get("request-id"), out);
                }
            } catch (IOException e) {
                record.line("backend: connection ended: " + e.getMessage());
            }
        }

        private void answer(String request, OutputStream out) throws IOException {
            int number = requests.incrementAndGet();
            boolean sheds = number % 11 == 0;
            byte[] whole = sheds ? shed(request) : work(number, request);
            out.write(whole);
            out.flush();
            boolean copied = mode == Mode.ANY ? number % ANSWERS_PER_COPY == 0 : number % (ANSWERS_PER_COPY + 10) == 0;
            if (faulty && copied) {
                Daemon.sleep(COPY_DELAY_MILLIS);
                String text = new String(whole, StandardCharsets.US_ASCII);
                int cut = mode == Mode.ANY
                        ? 1 + random.nextInt(text.indexOf("\r\n\r\n"))
                        : text.indexOf("\r\n", text.indexOf("Not-Executed"));
                record.line("copy of the answer to " + request + ", cut after " + cut + " bytes");
                out.write(whole, 0, cut);
                out.flush();
                copies.incrementAndGet();
            }
        }

        private byte[] shed(String request) {
            return ("HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nRequest-Id: " + request
                            + "\r\nContent-Length: 0\r\n\r\n")
                    .getBytes(StandardCharsets.US_ASCII);
        }

        private byte[] work(int number, String request) {
            boolean fails = number % 3 == 0;
            Given answer = given.computeIfAbsent(
                    request,
                    each -> new Given(fails ? 500 : 200, "s." + number + "." + request, new AtomicInteger()));
            answer.runs().incrementAndGet();
            record.line("run " + request + ", answer " + (fails ? 500 : 200));
            String body = "the answer to " + request;
            return ("HTTP/1.1 " + (fails ? "500 Internal Server Error" : "200 OK") + "\r\nRequest-Id: " + request
                            + "\r\nResponse-Signature: " + answer.signature() + "\r\nContent-Length: " + body.length()
                            + "\r\n\r\n" + body)
                    .getBytes(StandardCharsets.US_ASCII);
        }

        @Override
        public void close() throws IOException {
            listener.close();
        }
    }
}
