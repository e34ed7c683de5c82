package org.trefoilledge.load;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Processes started by the load tool. Closing the group ends all of them; a shutdown hook does the same on Ctrl-C.
 * Thread-safe.
 */
final class ProcessGroup implements AutoCloseable {
    private static final long TERMINATE_TIMEOUT_MILLIS = 8_000;
    private static final long KILL_TIMEOUT_MILLIS = 2_000;

    private final Path logs;
    private final Map<String, ProcessSpec> specs = new LinkedHashMap<>();
    private final Map<String, Process> running = new LinkedHashMap<>();
    private final Thread shutdownHook = new Thread(this::terminateAll, "load-shutdown");
    private boolean closed;

    /**
     * How a process is started.
     *
     * @param javaOptions options for the Java runtime, passed in {@code TREFOILLEDGE_JAVA_OPTS}
     */
    record ProcessSpec(String name, List<String> command, String javaOptions) {
        ProcessSpec {
            command = List.copyOf(command);
        }
    }

    ProcessGroup(Path logs) throws IOException {
        this.logs = Files.createDirectories(logs);
        Runtime.getRuntime().addShutdownHook(shutdownHook);
    }

    /**
     * Starts a process; its output goes to a log file with its name.
     *
     * @throws IOException if it cannot be started or the group is closed
     */
    synchronized void start(ProcessSpec spec) throws IOException {
        if (closed) {
            throw new IOException("processes are being stopped");
        }
        if (isAlive(spec.name())) {
            return;
        }
        Path log = log(spec.name());
        ProcessBuilder builder = new ProcessBuilder(spec.command())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        builder.environment().put("TREFOILLEDGE_JAVA_OPTS", spec.javaOptions());
        specs.put(spec.name(), spec);
        running.put(spec.name(), builder.start());
    }

    /** Starts a process again with the command that it had. */
    void restart(String name) throws IOException {
        ProcessSpec spec;
        synchronized (this) {
            spec = specs.get(name);
        }
        if (spec == null) {
            throw new IOException("no process named " + name + "; known: " + names("*"));
        }
        start(spec);
    }

    /** Returns the names that equal the pattern or, if it ends in {@code *}, begin with what precedes the star. */
    synchronized List<String> names(String pattern) {
        boolean prefix = pattern.endsWith("*");
        String start = prefix ? pattern.substring(0, pattern.length() - 1) : pattern;
        return specs.keySet().stream()
                .filter(name -> prefix ? name.startsWith(start) : name.equals(pattern))
                .toList();
    }

    synchronized boolean isAlive(String name) {
        Process process = running.get(name);
        return process != null && process.isAlive();
    }

    /** Asks a process to stop (SIGTERM) and does not wait. */
    void stop(String name) {
        Process process = findProcess(name);
        if (process != null) {
            process.destroy();
        }
    }

    /** Kills a process (SIGKILL). */
    void kill(String name) {
        Process process = findProcess(name);
        if (process != null) {
            process.destroyForcibly();
        }
    }

    /** Sends STOP or CONT to a process. */
    void signal(String name, String signal) throws IOException {
        Process process = findProcess(name);
        if (process != null && process.isAlive()) {
            signal(process, signal);
        }
    }

    private static void signal(Process process, String signal) throws IOException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start();
    }

    private synchronized Process findProcess(String name) {
        return running.get(name);
    }

    Path log(String name) {
        return logs.resolve(name.replace(':', '-') + ".log");
    }

    Path directory() {
        return logs;
    }

    /** Ends all processes: SIGTERM first, SIGKILL for those that are still there after some seconds. */
    @Override
    public void close() {
        terminateAll();
        try {
            Runtime.getRuntime().removeShutdownHook(shutdownHook);
        } catch (IllegalStateException e) {
            // The runtime is already shutting down and the hook is running.
            return;
        }
    }

    private void terminateAll() {
        List<Process> processes;
        synchronized (this) {
            closed = true;
            processes = new ArrayList<>(running.values());
        }
        // Stops in reverse start order: the store ends last, so that nodes can write to it while they stop.
        Collections.reverse(processes);
        processes.forEach(ProcessGroup::terminate);
        awaitExit(processes, TERMINATE_TIMEOUT_MILLIS);
        processes.forEach(Process::destroyForcibly);
        awaitExit(processes, KILL_TIMEOUT_MILLIS);
    }

    private static void terminate(Process process) {
        if (!process.isAlive()) {
            return;
        }
        process.destroy();
        try {
            // A frozen process handles SIGTERM only after it continues.
            signal(process, "CONT");
        } catch (IOException e) {
            process.destroyForcibly();
        }
    }

    private static void awaitExit(List<Process> processes, long millis) {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        for (Process process : processes) {
            try {
                process.waitFor(Math.max(0, deadline - System.nanoTime()), TimeUnit.NANOSECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }
}
