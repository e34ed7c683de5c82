package org.trefoilledge.scenarios;

import java.io.File;
import java.io.IOException;
import java.io.InterruptedIOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/** A Java process that this test started, with the test's own class path. */
final class ChildProcess {
    /** Small and quick to start: a scenario runs up to nine processes on a shared machine. */
    private static final List<String> JAVA_OPTIONS =
            List.of("-Xmx128m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xshare:auto");

    private final Process process;

    private ChildProcess(Process process) {
        this.process = process;
    }

    /** Starts a main class; its output goes to a file. */
    static ChildProcess start(Path output, String mainClass, String... arguments) throws IOException {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(JAVA_OPTIONS);
        command.add("-cp");
        command.add(classPath());
        command.add(mainClass);
        command.addAll(Arrays.asList(arguments));
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        return new ChildProcess(builder.redirectOutput(output.toFile()).start());
    }

    /** Leaves the test's own directory out, because its logging configuration is not meant for the programs. */
    private static String classPath() {
        String all = System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
        return Arrays.stream(all.split(File.pathSeparator))
                .filter(entry -> !Path.of(entry).endsWith("test-classes"))
                .collect(Collectors.joining(File.pathSeparator));
    }

    /** Sends a signal, such as {@code STOP}, to this process only. */
    void signal(String name) throws IOException {
        Process kill = new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start();
        if (await(kill, 5) != 0) {
            throw new IOException("cannot send signal " + name + " to process " + process.pid());
        }
    }

    /** Ends the process at once. */
    void kill() {
        process.destroyForcibly().onExit().join();
    }

    /** Sends SIGTERM and waits for the end; returns the exit code. */
    int stop(int seconds) throws IOException {
        process.destroy();
        return await(seconds);
    }

    /** Waits for the end; returns the exit code. */
    int await(int seconds) throws IOException {
        return await(process, seconds);
    }

    boolean running() {
        return process.isAlive();
    }

    private static int await(Process process, int seconds) throws IOException {
        try {
            if (!process.waitFor(seconds, TimeUnit.SECONDS)) {
                throw new IOException("process " + process.pid() + " did not end within " + seconds + " s");
            }
            return process.exitValue();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new InterruptedIOException("interrupted while waiting for process " + process.pid());
        }
    }
}
