package org.trefoilledge.standin;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.PrintWriter;
import java.io.StringWriter;
import org.junit.jupiter.api.Test;
import picocli.CommandLine;

class StandinMainTest {
    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();

    @Test
    void helpListsBothCommands() {
        assertThat(run("--help")).isZero();
        assertThat(out.toString()).contains("store ").contains("upstream ");
    }

    @Test
    void addressWithoutAPortIsAUsageError() {
        assertThat(run("store", "--listen", "127.0.0.1")).isEqualTo(2);
        assertThat(err.toString()).contains("expected an IP address with a port");
    }

    @Test
    void malformedChildCallIsAUsageError() {
        assertThat(run("upstream", "--host", "a", "--service", "s", "--calls", "stock"))
                .isEqualTo(2);
        assertThat(err.toString()).contains("a call must have the form");
    }

    @Test
    void missingHostIsAUsageError() {
        assertThat(run("upstream", "--service", "s")).isEqualTo(2);
    }

    @Test
    void addressInUseFails() throws Exception {
        try (StoreStandin other = StoreStandin.start()) {
            assertThat(run("store", "--listen", "127.0.0.1:" + other.port())).isEqualTo(1);
        }
    }

    private int run(String... arguments) {
        return StandinMain.commandLine()
                .setOut(new PrintWriter(out, true))
                .setErr(new PrintWriter(err, true))
                .execute(arguments);
    }

    /** Guards against option declarations that picocli rejects. */
    @Test
    void bothCommandsHaveHelp() {
        for (CommandLine command : StandinMain.commandLine().getSubcommands().values()) {
            assertThat(command.getUsageMessage()).contains("--listen");
        }
    }
}
