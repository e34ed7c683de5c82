package org.trefoilledge.load;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.junit.jupiter.api.Test;

class DriverTest {
    /**
     * Answers with the path. The first attempt of each request is refused if {@code refuseFirst} is set; nothing is
     * answered for some time after the first request.
     */
    private static final class FakeNode extends Handler.Abstract {
        private final boolean refuseFirst;
        private final long stallMillis;
        private final Set<String> seen = ConcurrentHashMap.newKeySet();
        private final Set<String> ids = ConcurrentHashMap.newKeySet();
        private final AtomicLong firstNanos = new AtomicLong();

        FakeNode(boolean refuseFirst, long stallMillis) {
            this.refuseFirst = refuseFirst;
            this.stallMillis = stallMillis;
        }

        @Override
        public boolean handle(Request request, Response response, Callback callback) throws Exception {
            String path = request.getHttpURI().getPathQuery();
            ids.add(request.getHeaders().get("Idempotency-Key")
                    + request.getHeaders().get("Authorization"));
            long first = firstNanos.updateAndGet(old -> old == 0 ? System.nanoTime() : old);
            long waited = (System.nanoTime() - first) / 1_000_000;
            Thread.sleep(Math.max(0, stallMillis - waited));
            String body = path;
            if (seen.add(path) && refuseFirst) {
                response.setStatus(503);
                response.getHeaders().put("Trefoilledge-Kind", "OVERLOADED");
                body = "{\"retryAfterMs\":1}";
            }
            Content.Sink.write(response, true, body, callback);
            return true;
        }
    }

    private static Journal run(FakeNode node, int threads, String extra) throws Exception {
        Server server = new Server(new org.eclipse.jetty.util.thread.QueuedThreadPool(threads));
        ServerConnector connector = new ServerConnector(server, 1, 1);
        connector.setHost("127.0.0.1");
        server.addConnector(connector);
        server.setHandler(node);
        server.start();
        Journal journal = new Journal();
        try (Driver driver = new Driver(experiment(connector.getLocalPort(), extra), journal)) {
            driver.start();
            driver.run();
        } finally {
            server.stop();
        }
        return journal;
    }

    private static Experiment experiment(int port, String extra) throws Exception {
        String text =
                """
                name = "test"
                duration_s = 1
                arrivals = "uniform"
                targets = ["127.0.0.1:%d"]
                route = [{method = "POST", path = "/a", body = "x", idempotency_key = true}]
                organisation = [{id = "one", key = "k", rate = 50}]
                %s
                """;
        return ExperimentReader.parse(Path.of("."), "x.toml", text.formatted(port, extra));
    }

    @Test
    void everyRequestIsAnsweredWhole() throws Exception {
        Journal journal = run(new FakeNode(false, 0), 8, "");
        assertThat(journal.roots()).hasSizeBetween(49, 50).allMatch(RootRequest::whole);
    }

    /** Guards against a repeat that carries a new id and so executes the request twice. */
    @Test
    void repeatKeepsItsIdAndKey() throws Exception {
        FakeNode node = new FakeNode(true, 0);
        Journal journal = run(node, 8, "[retry]\nattempts = 2\ndelay_ms = 5\n");
        List<RootRequest> repeated =
                journal.roots().stream().filter(root -> root.attempts() == 2).toList();
        assertThat(repeated).hasSizeGreaterThan(40).allMatch(RootRequest::whole);
        assertThat(node.ids).hasSize(journal.roots().size()).allMatch(id -> id.endsWith("Bearer k"));
    }

    /** Guards against load that waits for a stalled system, and against latency that hides the stall. */
    @Test
    void requestsThatAreDueDuringAStallAreSentAndCountItsDelay() throws Exception {
        Journal journal = run(new FakeNode(false, 600), 64, "");
        // Thirty requests are due during the stall; those due in its first 400 ms wait at least 200 ms.
        assertThat(journal.roots().stream().filter(root -> root.latencyMicros() > 200_000))
                .hasSizeGreaterThan(15);
        assertThat(journal.attempts().stream().filter(attempt -> attempt.sentMicros() < 600_000))
                .hasSizeGreaterThan(25);
    }

    @Test
    void refusedConnectionIsCounted() throws Exception {
        Journal journal = new Journal();
        try (Driver driver = new Driver(experiment(1, ""), journal)) {
            driver.start();
            driver.run();
        }
        assertThat(journal.notWholeCounts()).containsOnlyKeys("connection");
    }

    /** Guards against identifiers that the arbiter does not take for new ones. */
    @Test
    void uuidHasVersionSevenAndItsTime() {
        var uuid = UuidV7.make(1_700_000_000_000L, new java.util.SplittableRandom(1));
        assertThat(uuid.version()).isEqualTo(7);
        assertThat(uuid.variant()).isEqualTo(2);
        assertThat(uuid.getMostSignificantBits() >>> 16).isEqualTo(1_700_000_000_000L);
        assertThat(uuid.toString().getBytes(StandardCharsets.US_ASCII)).hasSize(36);
    }
}
