import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;

/** Restarts the machines of a zone in turn and checks that no request is cut off without an answer. */
final class StopCutsRequests {
    private static final double ROLL_GAP_S = 1.3;
    private static final int WORK_MILLIS = 1_400;
    private static final int DEADLINE_MILLIS = 6_000;
    private static final int CLIENTS = 20;
    /** Longest time between an answer and the next request of a client. */
    private static final double MAX_PAUSE_S = 1;

    private record Sent(Lab.Machine machine, double at, double ended, Lab.Client.Answer answer) {}

    private StopCutsRequests() {}

    public static void main(String[] arguments) {
        Lab.main(arguments[0], List.of("za", "zb"), StopCutsRequests::run);
    }

    private static List<String> run(Lab lab) throws Exception {
        lab.operatorWrites("status.example", "safe", "ledger");
        for (int i = 0; i < 3; i++) {
            lab.addMachine("za", "desk", 200);
        }
        for (int i = 0; i < 4; i++) {
            lab.addMachine("zb", "ledger", 200);
        }
        var request = new Lab.Client.Request("", "GET", "status.example", "/jobs/x/" + WORK_MILLIS + "/400", 0, DEADLINE_MILLIS);
        var probe = new Lab.Client.Request("", "GET", "status.example", "/jobs/x/5/10", 0, 1_000);
        lab.awaitReady(List.of(probe));
        lab.machines.forEach(Lab.Machine::watchReadiness);
        Lab.pause(4);
        Map<String, Sent> all = new ConcurrentHashMap<>();
        List<Lab.Machine> zone = lab.machines.stream().filter(each -> each.zone.equals("za")).toList();
        for (Lab.Machine machine : zone) {
            for (int i = 0; i < CLIENTS; i++) {
                lab.threads.execute(() -> client(lab, machine, request, all));
            }
        }
        Lab.pause(4);
        double firstStop = lab.now();
        if (lab.trouble) {
            for (int i = 0; i < zone.size(); i++) {
                lab.waitUntil(firstStop + i * ROLL_GAP_S);
                Lab.Machine machine = zone.get(i);
                lab.threads.execute(() -> {
                    try {
                        machine.stopAndStart();
                    } catch (Exception e) {
                        lab.note("%s: restart failed: %s", machine.name, e);
                    }
                });
            }
        }
        lab.waitUntil(firstStop + 16);
        return check(lab, all);
    }

    private static void client(Lab lab, Lab.Machine machine, Lab.Client.Request request, Map<String, Sent> all) {
        Lab.Client client = new Lab.Client(lab, machine);
        while (true) {
            if (!machine.clientsGetWork()) {
                Lab.pause(0.05);
                continue;
            }
            var next = request.withNewId();
            double sent = lab.now();
            var answer = client.send(next);
            all.put(next.id(), new Sent(machine, sent, lab.now(), answer));
            Lab.pause(ThreadLocalRandom.current().nextDouble(MAX_PAUSE_S));
        }
    }

    /** LOST around planned work, with its excuses. */
    private static List<String> check(Lab lab, Map<String, Sent> all) {
        List<String> broken = new ArrayList<>();
        all.forEach((id, sent) -> {
            double stop = sent.machine.sigtermAt;
            Lab.Backend.Run run = lab.machines.stream()
                    .flatMap(each -> List.copyOf(each.backend.served).stream())
                    .filter(each -> each.id.equals(id))
                    .findFirst()
                    .orElse(null);
            if (sent.answer.complete || run == null || Double.isNaN(stop)) {
                return;
            }
            boolean planned = sent.ended >= stop && sent.ended <= stop + Lab.GRACE_S + 1;
            boolean timeLeft = sent.ended - sent.at < DEADLINE_MILLIS / 1000.0;
            boolean lateWork = run.from < stop + Lab.GRACE_S
                    && !(run.to < stop + Lab.GRACE_S * 5 / 6)
                    && sent.at <= stop + 3;
            if (planned && timeLeft && !lateWork) {
                broken.add(String.format(
                        "LOST %s on %s: sent %.2f s after SIGTERM, passed on to a back end, connection ended %.2f s after"
                                + " SIGTERM: %s",
                        id, sent.machine.name, sent.at - stop, sent.ended - stop, sent.answer));
            }
        });
        long answered = all.values().stream().filter(sent -> sent.answer.status == 200).count();
        lab.note("%d requests, %d answered with 200", all.size(), answered);
        if (answered == 0) {
            throw new IllegalStateException("nothing was served");
        }
        return broken;
    }
}
