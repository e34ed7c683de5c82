package org.trefoilledge.load;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

class RunCommandTest {
    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();

    private int execute(String... arguments) {
        return new CommandLine(new LoadMain())
                .setOut(new PrintWriter(out, true))
                .setErr(new PrintWriter(err, true))
                .execute(arguments);
    }

    private static Path experiment(Path directory, int port) throws Exception {
        String text =
                """
                name = "small"
                duration_s = 2
                targets = ["127.0.0.1:%d"]
                route = [{path = "/a", echo = ["{id}"]}]
                organisation = [{id = "one", rate = 20}]
                action = [{at_s = 0.5, put = "http://127.0.0.1:%d/.standin/settings", body = "{}"},
                  {at_s = 0.6, kill = "store"}]
                """;
        return Files.writeString(directory.resolve("small.toml"), text.formatted(port, port));
    }

    /** Guards against a run whose results are only on the terminal, and against an action that fails unseen. */
    @Test
    void runPerformsActionsAndWritesItsReport(@TempDir Path directory) throws Exception {
        try (FakeNode node = new FakeNode(false, 0).listen()) {
            Path file = experiment(directory, node.port());
            int code = execute("run", file.toString(), "--report", directory + "/report", "--seed", "5");
            assertThat(code).as(err.toString()).isZero();
            assertThat(node.paths()).contains("/.standin/settings");
        }
        assertThat(out.toString()).contains("   1 s  sent", "action failed: kill store: the tool did not start any");
        Path report = directory.resolve("report");
        assertThat(Files.readString(report.resolve("report.html"))).contains("Seed: 5", "Action failed: kill store");
        assertThat(Files.readString(report.resolve("summary.txt"))).contains("goodput, whole/s");
        assertThat(Files.readAllLines(report.resolve("default/seconds.csv"))).hasSize(3);
        assertThat(report.resolve("default/latency.hlog")).isNotEmptyFile();
    }

    @Test
    void invalidFileIsAUsageError(@TempDir Path directory) throws Exception {
        Path file = Files.writeString(directory.resolve("bad.toml"), "duration_s = \"long\"\n");
        assertThat(execute("run", file.toString())).isEqualTo(2);
        assertThat(err.toString()).startsWith("bad.toml:1:1: duration_s: expected a number");
    }

    @Test
    void unknownDeploymentOfTheDemoIsAUsageError() {
        assertThat(execute("demo", "--deployment", "elsewhere")).isEqualTo(2);
        assertThat(err.toString()).contains("expected nilebadge or haneul, but found: elsewhere");
    }
}
