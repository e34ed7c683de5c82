package org.trefoilledge.operator;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;
import org.trefoilledge.core.config.ConfigCodec;

/** Runs commands against a store in memory and scripted nodes, and records what operators would see. */
final class Session implements NodeClient {
    static final String STORE = "http://127.0.0.1:2379";
    static final String INVENTORY =
            """
            deployment = "test"
            zones = ["a", "b"]
            [[service]]
            id = "orders"
            slots = 10
            connections = 100
            [[organisation]]
            id = "bakery"
            rate = 5.0
            burst = 5
            [[organisation]]
            id = "school"
            rate = 10.0
            burst = 10
            [[route]]
            id = "submit"
            method = "POST"
            path = "/orders"
            service = "orders"
            importance = "critical"
            """;

    final MemoryStore store;
    final Map<String, String> nodeAnswers = new TreeMap<>();
    private final Path directory;
    private final String name;
    private final StringBuilder transcript = new StringBuilder();
    private long now;
    private int operations;
    private String lastOutput = "";

    Session(MemoryStore store, Path directory, String name) {
        this.store = store;
        this.directory = directory;
        this.name = name;
    }

    /** Runs a command; {@code @NAME} stands for a file of this test. */
    int run(String... arguments) {
        StringWriter out = new StringWriter();
        StringWriter err = new StringWriter();
        String[] real = arguments.clone();
        for (int i = 0; i < real.length; i++) {
            real[i] = real[i].startsWith("@")
                    ? directory.resolve(real[i].substring(1)).toString()
                    : real[i];
        }
        int exitCode = OperatorMain.commandLine(environment(out, err)).execute(real);
        transcript
                .append("$ trefoilledge ")
                .append(String.join(" ", arguments).replace("@", ""))
                .append('\n');
        err.toString().replace(directory + "/", "").lines().forEach(line -> transcript
                .append(("! " + line).stripTrailing())
                .append('\n'));
        transcript.append(out).append("exit code ").append(exitCode).append("\n\n");
        lastOutput = out.toString();
        return exitCode;
    }

    /** Runs a command that needs the store. */
    int runWithStore(String... arguments) {
        String[] all = java.util.Arrays.copyOf(arguments, arguments.length + 2);
        all[arguments.length] = "--store";
        all[arguments.length + 1] = STORE;
        return run(all);
    }

    private Environment environment(StringWriter out, StringWriter err) {
        return new Environment(
                new PrintWriter(out, true),
                new PrintWriter(err, true),
                (endpoints, timeoutMillis) -> store,
                this,
                () -> name + ++operations,
                () -> "random-key-of-" + name + "-" + operations,
                () -> now,
                millis -> now += millis);
    }

    void file(String file, String text) {
        try {
            Files.writeString(directory.resolve(file), text);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public JsonNode get(NodeAddress node, String pathAndQuery) throws IOException {
        String answer = nodeAnswers.get(node + pathAndQuery);
        if (answer == null) {
            throw new IOException("connection refused");
        }
        return ConfigCodec.json().readTree(answer);
    }

    String lastOutput() {
        return lastOutput;
    }

    String transcript() {
        return transcript.toString();
    }
}
