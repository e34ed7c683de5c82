import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * Clients of one machine download large answers over slow links, each on a connection of its own and within its time budget.
 * Other clients of the machine send small requests. The next backend is that of the machine itself.
 */
final class SlowReaders {
    private static final String CONFIGURATION = "{\"version\":3,\"routes\":{\"r-files\":{\"host\":\"files.example\","
            + "\"path_prefix\":\"/files/\",\"kind\":\"download\",\"timeout_s\":40,\"target_latency_s\":1.5,"
            + "\"priority\":2,\"service\":\"files\",\"max_attempts\":2,\"public\":true},\"r-list\":{\"host\":"
            + "\"files.example\",\"path_prefix\":\"/list/\",\"kind\":\"safe\",\"timeout_s\":6,"
            + "\"target_latency_s\":1.5,\"priority\":2,\"service\":\"files\",\"max_attempts\":2,\"public\":true}},\"services\":{\"files\":{\"health_path\":"
            + "\"/healthz\",\"max_connections\":1336,\"protocol\":\"h1\",\"tls\":false},\"desk\":{\"health_path\":"
            + "\"/healthz\",\"max_connections\":1336,\"protocol\":\"h1\",\"tls\":false}},\"limits\":{"
            + "\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout_s\":3,\"idle_timeout_s\":15}}";
    private static final long TIMEOUT_MILLIS = 6_000;
    private static final int SOUND_CLIENTS = 20;
    private static final long DOWNLOAD_MILLIS = 40_000;
    private static final long RUN_MILLIS = 38_000;
    private static final long JOIN_MILLIS = 10;
    private static final long PACE_MILLIS = 25;
    /** The rule is broken by more. */
    private static final int MAX_LOST = 3;

    private SlowReaders() {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status;
        try (RunLog record = new RunLog(Path.of(arguments[0]))) {
            status = run(
                    record,
                    arguments[1],
                    Integer.parseInt(arguments[2]),
                    Integer.parseInt(arguments[3]),
                    Integer.parseInt(arguments[4]),
                    trouble ? Integer.parseInt(arguments[5]) : 0);
        } catch (IOException e) {
            System.err.println("the case could not run: " + e);
            status = 2;
        }
        System.exit(status);
    }

    /**
     * @param rule the rule that is judged, LOST or MIXED
     * @param downloaders number of clients that download
     * @param ahead downloads that each of them asks for at once
     * @param downloadBytes size of each answer
     * @param slowBytes bytes that each of them reads ten times a second; 0 to read at once
     */
    private static int run(RunLog record, String rule, int downloaders, int ahead, int downloadBytes, int slowBytes)
            throws Exception {
        try (Bed bed = new Bed(record, List.of("z-a", "z-b"))) {
            Host front = bed.addHost("z-a", "files", 60, 192);
            bed.addHost("z-b", "files", 60, 192);
            bed.start(CONFIGURATION);
            long end = record.millis() + RUN_MILLIS;
            List<Pipeliner> sound = new ArrayList<>();
            List<Thread> threads = new ArrayList<>();
            for (int i = 0; i < SOUND_CLIENTS; i++) {
                Pipeliner client =
                        new Pipeliner(front, record, "files.example", "/list/100/200/", TIMEOUT_MILLIS, PACE_MILLIS);
                sound.add(client);
                Thread thread = Daemon.thread(() -> client.run(end));
                threads.add(thread);
                thread.start();
            }
            try (Crowd crowd = new Crowd(front, record)) {
                for (int i = 0; i < downloaders; i++) {
                    List<String> ids = new ArrayList<>();
                    List<String> requests = new ArrayList<>();
                    // The rule LOST is about kept connections: the download is not the first request on its connection.
                    if (rule.equals("LOST")) {
                        String id = Client.newId();
                        ids.add(id);
                        requests.add(Client.head("GET", "files.example", "/list/5/200/", id, TIMEOUT_MILLIS, 0));
                    }
                    for (int j = 0; j < ahead; j++) {
                        String id = Client.newId();
                        ids.add(id);
                        String path = "/files/20/" + downloadBytes + "/";
                        requests.add(Client.head("GET", "files.example", path, id, DOWNLOAD_MILLIS, 0));
                    }
                    record.line("downloads " + ids);
                    crowd.join(ids, requests, slowBytes);
                    Daemon.sleep(JOIN_MILLIS);
                }
                record.say(downloaders + " clients have asked for " + ahead + " x " + downloadBytes + " bytes each");
                for (Thread thread : threads) {
                    thread.join();
                }
                record.say("downloads complete: " + crowd.readers().stream().mapToInt(Crowd.Reader::successes).sum()
                        + ", bytes read: " + crowd.bytesRead());
                return judge(bed, front, sound, crowd, record, rule);
            }
        }
    }

    private static int judge(Bed bed, Host front, List<Pipeliner> sound, Crowd crowd, RunLog record, String rule) {
        Predicate<String> ran = id -> bed.hosts().stream().anyMatch(host -> host.backend().run(id) != null);
        long downloads = crowd.lost(ran);
        long lists = sound.stream()
                .flatMap(client -> client.closedWith().stream())
                .filter(open -> open.stream().anyMatch(ran))
                .count();
        Map<String, Integer> statuses = new TreeMap<>();
        sound.forEach(client -> client.statuses().forEach((status, count) -> statuses.merge(status, count, Integer::sum)));
        record.say("answers to the clients with small requests: " + statuses);
        record.say("sidecar of the machine is " + (front.running() ? "running" : "gone") + ", ready: " + front.ready());
        record.say("LOST: kept connections that the sidecar closed after it had passed a request on, without an answer: "
                + downloads + " of downloads, " + lists + " of small requests");
        int foreign = crowd.readers().stream().mapToInt(Crowd.Reader::foreign).sum();
        record.say("MIXED: successes with a body that is not the backend's: " + foreign);
        return (rule.equals("MIXED") ? foreign > 0 : downloads + lists > MAX_LOST) ? 1 : 0;
    }
}
