package org.trefoilledge.load;

import java.io.IOException;
import java.io.PrintWriter;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Performs the timed actions of a run and keeps going when one of them fails; failures are printed and listed. */
final class ActionRunner implements AutoCloseable {
    private final ControlClient controlClient;
    private final Optional<Deployment> deployment;
    private final PrintWriter out;
    private final List<String> failures = new java.util.concurrent.CopyOnWriteArrayList<>();
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "load-actions");
        thread.setDaemon(true);
        return thread;
    });

    ActionRunner(ControlClient controlClient, Optional<Deployment> deployment, PrintWriter out) {
        this.controlClient = controlClient;
        this.deployment = deployment;
        this.out = out;
    }

    /** Schedules the actions; their times count from this call. */
    void start(List<TimedAction> actions) {
        actions.stream()
                .sorted(Comparator.comparingDouble(TimedAction::atSeconds))
                .forEach(action -> {
                    long micros = (long) (action.atSeconds() * 1e6);
                    var unused = timer.schedule(() -> perform(action), micros, TimeUnit.MICROSECONDS);
                });
    }

    void perform(TimedAction action) {
        for (String target : action.targets()) {
            try {
                int count = perform(action, target);
                out.printf(
                        Locale.ROOT,
                        "action at %.1f s: %s %s (%d)%n",
                        action.atSeconds(),
                        action.kind().key(),
                        target,
                        count);
            } catch (IOException e) {
                String failure = action.kind().key() + " " + target + ": " + e.getMessage();
                failures.add(failure);
                out.println("action failed: " + failure);
            }
            out.flush();
        }
    }

    private int perform(TimedAction action, String target) throws IOException {
        if (action.kind() == TimedAction.Kind.PUT) {
            return sendPut(target, action.body());
        }
        List<String> names = deployment
                .map(d -> d.processNames(target))
                .orElseThrow(() -> new IOException("the tool did not start any process"));
        if (names.isEmpty()) {
            throw new IOException("no process matches");
        }
        for (String name : names) {
            applyToProcess(action.kind(), name);
        }
        return names.size();
    }

    /** A target is a URL, or a pattern for hosts followed by a path, as in {@code upstream=stock/.standin/settings}. */
    private int sendPut(String target, String body) throws IOException {
        if (TimedAction.isUrl(target)) {
            controlClient.put(target, body);
            return 1;
        }
        int slash = target.indexOf('/');
        String pattern = slash < 0 ? target : target.substring(0, slash);
        String path = slash < 0 ? "/" : target.substring(slash);
        List<String> addresses = deployment.map(d -> d.addresses(pattern)).orElse(List.of());
        if (addresses.isEmpty()) {
            throw new IOException("no host matches");
        }
        for (String address : addresses) {
            controlClient.put("http://" + address + path, body);
        }
        return addresses.size();
    }

    private void applyToProcess(TimedAction.Kind kind, String name) throws IOException {
        ProcessGroup processes = deployment.orElseThrow().processes();
        switch (kind) {
            case START -> processes.restart(name);
            case STOP -> processes.stop(name);
            case KILL -> processes.kill(name);
            case FREEZE -> processes.signal(name, "STOP");
            case RESUME -> processes.signal(name, "CONT");
            case PUT -> throw new IOException("not an action on a process");
        }
    }

    List<String> failures() {
        return List.copyOf(failures);
    }

    @Override
    public void close() {
        timer.shutdownNow();
    }
}
