import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/** Clients of several machines upload large bodies to one service whose backends turn slow, while others send small requests. */
final class Uploads {
    private static final String CONFIGURATION = "{\"version\":3,\"routes\":{\"r-orders\":{\"host\":\"orders.example\","
            + "\"path_prefix\":\"/orders/\",\"kind\":\"unsafe\",\"timeout_s\":6,\"target_latency_s\":1.5,\"priority\":0,"
            + "\"service\":\"orders\",\"max_attempts\":2,\"public\":true}},\"services\":{\"orders\":{\"health_path\":"
            + "\"/healthz\",\"max_connections\":1336,\"protocol\":\"h1\",\"tls\":false},\"desk\":{\"health_path\":"
            + "\"/healthz\",\"max_connections\":1336,\"protocol\":\"h1\",\"tls\":false}},\"limits\":{"
            + "\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout_s\":3,\"idle_timeout_s\":15}}";
    private static final long TIMEOUT_MILLIS = 6_000;
    private static final int FRONTS = Integer.getInteger("fronts", 8);
    private static final int UPLOADERS = Integer.getInteger("uploaders", 10);
    private static final int BYTES = Integer.getInteger("bytes", 1_000_000);
    private static final long WORK = Long.getLong("work", 3_000);
    private static final long RUN_MILLIS = 20_000;

    private Uploads() {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        try (RunLog record = new RunLog(Path.of(arguments[0]))) {
            System.exit(run(record, trouble));
        } catch (IOException e) {
            System.err.println("the case could not run: " + e);
            System.exit(2);
        }
    }

    private static int run(RunLog record, boolean trouble) throws Exception {
        try (Bed bed = new Bed(record, List.of("z-a", "z-b"))) {
            for (int i = 0; i < FRONTS; i++) {
                bed.addHost(i % 2 == 0 ? "z-a" : "z-b", "desk", 60, 192);
            }
            bed.addHost("z-a", "orders", 60, 192);
            bed.start(CONFIGURATION);
            ConcurrentLinkedQueue<Client.Outcome> outcomes = new ConcurrentLinkedQueue<>();
            ConcurrentLinkedQueue<Client.Outcome> uploads = new ConcurrentLinkedQueue<>();
            long end = record.millis() + RUN_MILLIS;
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < FRONTS; i++) {
                Host front = bed.hosts().get(i);
                for (int j = 0; j < UPLOADERS + 3; j++) {
                    boolean upload = j < UPLOADERS;
                    byte[] body = new byte[upload ? BYTES : 100];
                    long work = upload && trouble ? WORK : 20;
                    Thread thread = Daemon.thread(() -> {
                        try (Client client = new Client(front, record)) {
                            while (record.millis() < end) {
                                (upload ? uploads : outcomes)
                                        .add(client.send(
                                                "POST",
                                                "orders.example",
                                                "/orders/" + work + "/200/",
                                                TIMEOUT_MILLIS,
                                                TIMEOUT_MILLIS + 500,
                                                body));
                                Daemon.sleep(upload ? 300 : 100);
                            }
                        }
                    });
                    clients.add(thread);
                    thread.start();
                }
            }
            for (Thread thread : clients) {
                thread.join();
            }
            Daemon.sleep(8_000);
            ConcurrentLinkedQueue<Client.Outcome> after = new ConcurrentLinkedQueue<>();
            for (int i = 0; i < 30; i++) {
                try (Client client = new Client(bed.hosts().get(i % FRONTS), record)) {
                    after.add(client.send("POST", "orders.example", "/orders/20/200/", 3000, 4000, new byte[100]));
                }
            }
            judge("after", bed, after, record);
            int bad = judge("uploads", bed, uploads, record) + judge("small", bed, outcomes, record);
            for (Host host : bed.hosts()) {
                record.say(host.name() + " running " + host.running() + " ready " + host.ready());
            }
            return bad > 3 ? 1 : 0;
        }
    }

    private static int judge(String name, Bed bed, Iterable<Client.Outcome> outcomes, RunLog record) {
        Map<String, Integer> counts = new TreeMap<>();
        int lost = 0;
        for (Client.Outcome outcome : outcomes) {
            Backend.Run run = bed.hosts().stream()
                    .map(host -> host.backend().run(outcome.id()))
                    .filter(each -> each != null)
                    .findFirst()
                    .orElse(null);
            String ran = run == null ? "not passed on" : run.answeredMillis < 0 ? "passed on" : "passed on and answered";
            String key = outcome.end() + (outcome.end() == Client.End.ANSWERED ? " " + outcome.status() : "") + ", " + ran;
            counts.merge(key, 1, Integer::sum);
            record.line(outcome.id() + " sent " + outcome.sentMillis() + " " + key);
            lost += outcome.end() == Client.End.CLOSED && run != null ? 1 : 0;
            lost += outcome.end() == Client.End.SILENT ? 1 : 0;
            if (outcome.end() == Client.End.ANSWERED && (outcome.status() == 503 || outcome.status() == 429) && run != null) {
                record.say("REFUSED and run " + outcome.id());
                lost += 10;
            }
        }
        record.say(name + ": " + counts);
        return lost;
    }
}
