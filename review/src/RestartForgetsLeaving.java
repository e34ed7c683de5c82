import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Restarts the sidecar of a back end that has announced its end (once as planned, or twice by a kill), and checks that the back end gets no new requests. */
final class RestartForgetsLeaving {
    private static final double CONTACT_S = 3;
    private static final int CLIENTS = 6;

    /** Time from the confirmation to the end of the leaving back end. */
    private static final double END_AFTER_S = 9.5;

    private static volatile boolean done;

    private RestartForgetsLeaving() {}

    public static void main(String[] arguments) {
        boolean kills = arguments.length > 1 && arguments[1].equals("kills");
        Lab.main(arguments[0], List.of("za", "zb"), lab -> run(lab, kills));
    }

    private static List<String> run(Lab lab, boolean kills) throws Exception {
        lab.operatorWrites("log.example", "unsafe", "supply");
        Lab.Machine front = lab.addMachine("za", "desk", 50);
        for (int i = 0; i < 6; i++) {
            lab.addMachine("zb", "supply", 50);
        }
        Lab.Machine leaving = lab.addMachine("za", "supply", 50);
        lab.awaitReady(List.of(new Lab.Client.Request("", "POST", "log.example", "/jobs/x/5/10", 10, 1_000)));
        lab.machines.forEach(Lab.Machine::watchReadiness);
        Lab.pause(5);
        Map<String, Double> sentAt = new ConcurrentHashMap<>();
        for (int i = 0; i < CLIENTS; i++) {
            lab.threads.execute(() -> client(lab, front, sentAt));
        }
        Lab.pause(3);

        leaving.backend.beating = false;
        String lateReport = leaving.backend.report("ready");
        lab.note("%s: status report on its way, will arrive late", leaving.name);
        Lab.pause(0.2);
        double asked = lab.now();
        int status = leaving.backend.announce("DELETE", "");
        double confirmed = lab.now();
        lab.note("%s: DELETE of the back end was answered with %d", leaving.name, status);
        if (status != 200) {
            throw new IllegalStateException("the back end's end was not confirmed");
        }
        double arrival = confirmed + 5.2;
        if (lab.trouble) {
            Lab.pause(0.3);
            if (kills) {
                leaving.killAndStart();
                Lab.pause(2.5);
                leaving.killAndStart();
            } else {
                leaving.stopAndStart();
            }
            while (!leaving.isReady()) {
                Lab.pause(0.05);
            }
            arrival = Math.min(arrival, lab.now());
        }
        lab.waitUntil(arrival);
        lab.note(
                "%s: late status report, sent %.1f s ago, was answered with %d",
                leaving.name, lab.now() - asked, leaving.backend.announce("PUT", lateReport));
        lab.waitUntil(confirmed + END_AFTER_S);
        leaving.backend.end();
        Lab.pause(3);
        done = true;
        return check(lab, leaving, confirmed, sentAt);
    }

    private static final Map<String, Lab.Client.Answer> ANSWERS = new ConcurrentHashMap<>();

    private static void client(Lab lab, Lab.Machine machine, Map<String, Double> sentAt) {
        Lab.Client client = new Lab.Client(lab, machine);
        while (!done) {
            var next = new Lab.Client.Request(Lab.Client.newId(), "POST", "log.example", "/jobs/x/120/5000", 4_000, 6_000);
            sentAt.put(next.id(), lab.now());
            ANSWERS.put(next.id(), client.send(next));
            Lab.pause(0.05);
        }
        client.close();
    }

    /** DRAIN, for requests that were sent and passed on while both machines had been in touch. */
    private static List<String> check(Lab lab, Lab.Machine leaving, double confirmed, Map<String, Double> sentAt) {
        List<String> broken = new ArrayList<>();
        int before = 0;
        for (Lab.Backend.Run run : List.copyOf(leaving.backend.served)) {
            Double sent = sentAt.get(run.id);
            before += run.from < confirmed ? 1 : 0;
            if (sent != null && run.from > confirmed + Lab.DRAIN_S && run.from > leaving.startedAt + CONTACT_S) {
                broken.add(String.format(
                        "DRAIN %s reached the back end %.2f s after the confirmation that it leaves, %.2f s after the start"
                                + " of its sidecar",
                        run.id, run.from - confirmed, run.from - leaving.startedAt));
            }
        }
        long lost = leaving.backend.served.stream()
                .filter(run -> ANSWERS.containsKey(run.id) && ANSWERS.get(run.id).status != 200)
                .peek(run -> lab.note("%s was lost with the back end: %s", run.id, ANSWERS.get(run.id)))
                .count();
        lab.note("%d requests of clients were at work at the back end when it ended and are lost", lost);
        lab.note("%d requests, %d at the leaving back end before its end was confirmed", sentAt.size(), before);
        if (before == 0) {
            throw new IllegalStateException("the back end served nothing before");
        }
        return broken;
    }
}
