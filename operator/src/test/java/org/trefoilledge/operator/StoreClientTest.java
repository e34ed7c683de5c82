package org.trefoilledge.operator;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.trefoilledge.standin.StoreFaults;
import org.trefoilledge.standin.StoreStandin;

/** The commands with the real clients, against the store stand-in and a small HTTP server. */
class StoreClientTest {
    @TempDir
    Path directory;

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();
    private StoreStandin store;

    @BeforeEach
    void start() throws IOException {
        store = StoreStandin.start();
        Files.writeString(directory.resolve("inventory.toml"), Session.INVENTORY);
    }

    @AfterEach
    void stop() {
        store.close();
    }

    private int run(String... arguments) {
        List<String> all = new ArrayList<>(List.of(arguments));
        all.addAll(List.of("--store", store.endpoint()));
        try (HttpNodeClient nodes = new HttpNodeClient()) {
            return OperatorMain.commandLine(OperatorMain.environment(nodes, out, err))
                    .execute(all.toArray(String[]::new));
        } catch (Exception e) {
            throw new AssertionError(e);
        }
    }

    private int apply() {
        return run("apply", directory.resolve("inventory.toml").toString(), "--timeout", "2");
    }

    @Test
    void appliedInventoryIsShown() {
        assertThat(apply()).isEqualTo(ExitCode.DONE);
        assertThat(run("show")).isEqualTo(ExitCode.DONE);
        assertThat(out.toString(StandardCharsets.UTF_8)).contains("organisation school: burst 10.0");
    }

    /** Guards against a wrong conclusion when the store takes every write and never says so. */
    @Test
    void lostAnswersEndAsAccepted() {
        store.apply(StoreFaults.NONE.withLoseWriteAnswers(1));
        assertThat(apply()).isEqualTo(ExitCode.DONE);
        assertThat(out.toString(StandardCharsets.UTF_8)).contains("accepted at revision 1");
    }

    @Test
    void storeThatIsDownIsAFailure() {
        store.apply(StoreFaults.NONE.withDown(true));
        assertThat(apply()).isEqualTo(ExitCode.FAILED);
        assertThat(err.toString(StandardCharsets.UTF_8)).contains("failed: nothing was changed");
    }

    /** Guards against lost or doubled grants when operators race and half of the answers are lost. */
    @Test
    void racingOperatorsWithLostAnswersAllTakeEffectOnce() throws Exception {
        apply();
        store.apply(StoreFaults.NONE.withLoseWriteAnswers(0.5));
        ExecutorService threads = Executors.newFixedThreadPool(3);
        try {
            List<Future<Integer>> running = new ArrayList<>();
            for (int i = 0; i < 9; i++) {
                running.add(threads.submit(() -> run("grant", "school", "--timeout", "30")));
            }
            for (Future<Integer> future : running) {
                assertThat(future.get()).isEqualTo(ExitCode.DONE);
            }
        } finally {
            threads.shutdownNow();
        }
        out.reset();
        run("show");
        assertThat(out.toString(StandardCharsets.UTF_8))
                .contains("revision 10\n")
                .containsPattern("organisation school: .*keys \\[([0-9a-f]{8}(, )?){9}]");
    }

    @Test
    void nodeIsAskedOverHttp() throws Exception {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.createContext("/status", exchange -> {
            byte[] body = "{\"revision\":7}".getBytes(StandardCharsets.UTF_8);
            exchange.sendResponseHeaders(200, body.length);
            exchange.getResponseBody().write(body);
            exchange.close();
        });
        server.start();
        NodeAddress node = new NodeAddress("127.0.0.1:" + server.getAddress().getPort());
        try (HttpNodeClient client = new HttpNodeClient()) {
            assertThat(client.get(node, "/status").path("revision").asLong()).isEqualTo(7);
            assertThatThrownBy(() -> client.get(node, "/other"))
                    .isInstanceOf(IOException.class)
                    .hasMessage("HTTP status 404");
        } finally {
            server.stop(0);
        }
    }
}
