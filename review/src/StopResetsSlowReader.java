import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Stops a sidecar while a client that sends requests ahead reads its answers slowly, and checks that the client gets all
 * answers to the requests that ran.
 */
final class StopResetsSlowReader {
    private static final int ANSWERS = 16;
    private static final int ANSWER_BYTES = 36_000;
    private static final int DEADLINE_MILLIS = 6_000;
    /** Time in which the client reads the answers. */
    private static final double READING_S = 3.5;

    private StopResetsSlowReader() {}

    public static void main(String[] arguments) {
        Lab.main(arguments[0], List.of("za", "zb"), StopResetsSlowReader::run);
    }

    private static List<String> run(Lab lab) throws Exception {
        lab.operatorWrites("list.example", "safe", "supply");
        Lab.Machine front = lab.addMachine("za", "desk", 50);
        lab.addMachine("zb", "supply", 50);
        lab.addMachine("za", "supply", 50);
        lab.awaitReady(List.of(new Lab.Client.Request("", "GET", "list.example", "/jobs/x/5/10", 0, 1_000)));
        Lab.pause(5);
        if (lab.trouble) {
            lab.threads.execute(() -> {
                try {
                    front.stopAndStart();
                } catch (Exception e) {
                    lab.note("restart failed: %s", e);
                }
            });
        }
        Lab.pause(0.3);
        Lab.Client client = new Lab.Client(lab, front);
        client.connect(16_384);
        double sent = lab.now();
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < ANSWERS; i++) {
            ids.add(send(client));
        }
        lab.threads.execute(() -> {
            Lab.pause(1);
            try {
                send(client);
            } catch (IOException e) {
                lab.note("the next request could not be sent: %s", e.getMessage());
            }
        });
        List<String> broken = new ArrayList<>();
        int answered = 0;
        for (String id : ids) {
            double left = sent + DEADLINE_MILLIS / 1000.0 - lab.now();
            var answer = client.read(left, ANSWERS * ANSWER_BYTES / READING_S);
            lab.note("%s: client got %s for %s", front.name, answer, id);
            answered += answer.complete && answer.status == 200 ? 1 : 0;
            if (!answer.complete && lab.now() < sent + DEADLINE_MILLIS / 1000.0 && lab.hasRun(id)) {
                broken.add(String.format(
                        "LOST %s on %s: sent %.2f s after SIGTERM, has run, connection ended %.2f s after SIGTERM: %s",
                        id, front.name, sent - front.sigtermAt, lab.now() - front.sigtermAt, answer));
            }
        }
        lab.note("%d of %d answers complete after %.2f s", answered, ANSWERS, lab.now() - sent);
        client.close();
        if (!lab.trouble && answered < ANSWERS) {
            throw new IOException("the client did not get all answers in time without trouble");
        }
        Lab.pause(2);
        return broken;
    }

    private static String send(Lab.Client client) throws IOException {
        var next = new Lab.Client.Request(
                Lab.Client.newId(), "GET", "list.example", "/jobs/x/60/" + ANSWER_BYTES, 0, DEADLINE_MILLIS);
        client.write(next);
        return next.id();
    }
}
