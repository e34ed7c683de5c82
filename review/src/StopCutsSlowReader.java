import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Stops a sidecar while a client reads its answers slowly, and checks that the client gets all of them. */
final class StopCutsSlowReader {
    private static final int ANSWERS = 16;
    private static final int ANSWER_BYTES = 1_000_000;
    private static final int DEADLINE_MILLIS = 6_000;
    /** Time in which the client reads all answers. */
    private static final double READING_S = 5.0;

    private StopCutsSlowReader() {}

    public static void main(String[] arguments) {
        Lab.main(arguments[0], List.of("za", "zb"), StopCutsSlowReader::run);
    }

    private static List<String> run(Lab lab) throws Exception {
        lab.operatorWrites("list.example", "safe", "supply");
        Lab.Machine front = lab.addMachine("za", "desk", 50);
        lab.addMachine("zb", "supply", 50);
        lab.addMachine("za", "supply", 50);
        lab.awaitReady(List.of(new Lab.Client.Request("", "GET", "list.example", "/jobs/x/5/10", 0, 1_000)));
        Lab.pause(5);
        List<String> broken = new ArrayList<>();
        Lab.Client client = new Lab.Client(lab, front);
        client.connect(16_384);
        double sent = lab.now();
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < ANSWERS; i++) {
            var next = new Lab.Client.Request(
                    Lab.Client.newId(), "GET", "list.example", "/jobs/x/60/" + ANSWER_BYTES, 0, DEADLINE_MILLIS);
            ids.add(next.id());
            client.write(next);
        }
        if (lab.trouble) {
            lab.threads.execute(() -> {
                Lab.pause(0.25);
                try {
                    front.stopAndStart();
                } catch (Exception e) {
                    lab.note("restart failed: %s", e);
                }
            });
        }
        int answered = 0;
        for (String id : ids) {
            var answer = client.read(sent + DEADLINE_MILLIS / 1000.0 - lab.now(), ANSWERS * ANSWER_BYTES / READING_S);
            lab.note("%s: client got %s for %s", front.name, answer, id);
            answered += answer.status == 200 && answer.complete ? 1 : 0;
            boolean timeLeft = lab.now() < sent + DEADLINE_MILLIS / 1000.0;
            if (!answer.complete && timeLeft && lab.hasRun(id)) {
                broken.add(String.format(
                        "LOST %s on %s: sent %.2f s before SIGTERM, has run, connection ended %.2f s after SIGTERM: %s",
                        id, front.name, front.sigtermAt - sent, lab.now() - front.sigtermAt, answer));
            }
        }
        client.close();
        lab.note("%d of %d answers complete after %.2f s", answered, ANSWERS, lab.now() - sent);
        if (!lab.trouble && answered < ANSWERS) {
            throw new IOException("the client did not get all answers in time without trouble");
        }
        Lab.pause(2);
        return broken;
    }
}
