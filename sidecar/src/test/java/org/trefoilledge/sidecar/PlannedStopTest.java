package org.trefoilledge.sidecar;

import static org.assertj.core.api.Assertions.assertThat;
import static org.trefoilledge.sidecar.StopCallers.pause;
import static org.trefoilledge.sidecar.StopCallers.request;
import static org.trefoilledge.sidecar.StopCallers.send;
import static org.trefoilledge.sidecar.TestFleet.ORDERS;
import static org.trefoilledge.sidecar.TestFleet.TRACKING;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Stops the sidecar of callers whose requests run on another host. */
class PlannedStopTest {
    private static final long STOP_MILLIS = 3_000;
    /** A request that the upstream still runs in the last sixth of the stop time may be cut off. */
    private static final long LAST_SIXTH_MILLIS = STOP_MILLIS * 5 / 6;

    private final TestFleet fleet = new TestFleet(STOP_MILLIS);
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private TestFleet.Host front;
    private TestFleet.Host back;

    /** What a caller saw of a request, and how long the upstream worked on it. */
    private record Outcome(String id, long sentMillis, long workMillis, int status, long endedMillis) {
        boolean mayBeCutOff() {
            return sentMillis + workMillis > LAST_SIXTH_MILLIS && sentMillis < STOP_MILLIS / 2;
        }
    }

    @BeforeEach
    void startFleet() throws Exception {
        fleet.writeConfig("1 k1");
        front = fleet.start("host-1", ORDERS);
        back = fleet.start("host-2", TRACKING, StopCallers::work);
        front.announce(1, "ready");
        back.announce(1, "ready");
        front.awaitStatus("/tracking/0/10", "k1", 200);
    }

    @AfterEach
    void stopFleet() throws IOException {
        threads.shutdownNow();
        fleet.close();
    }

    /** Guards against requests that are accepted late in a stop and cut off at its end. */
    @Test
    void requestThatArrivesDuringAStopIsAnsweredOrRefusedAtOnce() throws Exception {
        long start = System.nanoTime();
        Future<?> stop = threads.submit(front::stop);
        List<Future<Outcome>> outcomes = new ArrayList<>();
        for (int tenth = 0; tenth < 10; tenth++) {
            for (long workMillis : new long[] {30, 700, 1_500}) {
                long at = tenth * STOP_MILLIS / 10;
                String id = "r-" + at + "-" + workMillis;
                outcomes.add(threads.submit(sendAt(start, at, id, workMillis)));
            }
        }
        stop.get();

        for (Future<Outcome> future : outcomes) {
            Outcome outcome = future.get();
            boolean ran = back.upstream().requestHeads().stream().anyMatch(head -> head.contains(outcome.id() + "\n"));
            assertThat(outcome.status())
                    .as("%s", outcome)
                    .isIn(ran && !outcome.mayBeCutOff() ? List.of(200) : List.of(200, 503, 0));
            if (outcome.status() == 503) {
                assertThat(outcome.endedMillis() - outcome.sentMillis())
                        .as("%s", outcome)
                        .isLessThan(500);
            }
        }
        assertThat(outcomes.get(3).get().status()).isEqualTo(200);
    }

    /** Guards against a stop that ends the connection of a waiting caller without a word. */
    @Test
    void requestThatOutlastsAStopIsAnsweredAsOfUnknownOutcome() throws Exception {
        try (Socket caller = front.connect()) {
            Future<?> stop = threads.submit(front::stop);
            pause(STOP_MILLIS * 2 / 5);
            send(caller, request("u-1", 1_900, 10));

            assertThat(readStatus(caller)).isEqualTo(502);
            stop.get();
        }
    }

    private Callable<Outcome> sendAt(long startNanos, long atMillis, String id, long workMillis) {
        return () -> {
            pause(atMillis - millisSince(startNanos));
            int status = 0;
            long sent = millisSince(startNanos);
            try (Socket caller = front.connect()) {
                send(caller, request(id, workMillis, 100));
                status = readStatus(caller);
            } catch (IOException e) {
                // The sidecar has ended or closed the connection: no answer.
                status = 0;
            }
            return new Outcome(id, sent, workMillis, status, millisSince(startNanos));
        };
    }

    private static int readStatus(Socket caller) throws IOException {
        byte[] line = caller.getInputStream().readNBytes("HTTP/1.1 200".length());
        return line.length < "HTTP/1.1 200".length()
                ? 0
                : Integer.parseInt(new String(line, StandardCharsets.US_ASCII).substring("HTTP/1.1 ".length()));
    }

    private static long millisSince(long nanos) {
        return (System.nanoTime() - nanos) / 1_000_000;
    }
}
