package org.trefoilledge.sidecar;

import static org.assertj.core.api.Assertions.assertThat;
import static org.trefoilledge.sidecar.StopCallers.countAnswers;
import static org.trefoilledge.sidecar.StopCallers.pause;
import static org.trefoilledge.sidecar.StopCallers.request;
import static org.trefoilledge.sidecar.StopCallers.send;
import static org.trefoilledge.sidecar.TestFleet.ORDERS;
import static org.trefoilledge.sidecar.TestFleet.TRACKING;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Stops the sidecar of a caller that sends requests ahead and reads its answers slowly. */
class SlowReaderStopTest {
    private static final long STOP_MILLIS = 6_000;
    private static final int ANSWERS = 16;

    private final TestFleet fleet = new TestFleet(STOP_MILLIS);
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private TestFleet.Host front;

    @BeforeEach
    void startFleet() throws Exception {
        fleet.writeConfig("1 k1");
        front = fleet.start("host-1", ORDERS);
        TestFleet.Host back = fleet.start("host-2", TRACKING, StopCallers::work);
        front.announce(1, "ready");
        back.announce(1, "ready");
        front.awaitStatus("/tracking/0/10", "k1", 200);
    }

    @AfterEach
    void stopFleet() throws IOException {
        threads.shutdownNow();
        fleet.close();
    }

    /** Guards against a connection that is reset because its caller sends on, and has not read its answers yet. */
    @Test
    void callerThatSendsAheadAndReadsSlowlyGetsAllAnswers() throws Exception {
        int bytes = 36_000;
        Future<?> stop = threads.submit(front::stop);
        pause(150);
        try (Socket caller = front.connect()) {
            for (int i = 0; i < ANSWERS; i++) {
                send(caller, request("s-" + i, 30, bytes));
            }
            Future<?> next = threads.submit(() -> {
                pause(1_000);
                send(caller, request("s-next", 30, bytes));
                return null;
            });
            assertThat(countAnswers(caller, ANSWERS, bytes, 100)).isEqualTo(ANSWERS);
            next.get();
        }
        stop.get();
    }

    /** Guards against an end of the process while answers wait in it for a caller that reads slowly. */
    @Test
    void largeAnswersReachACallerThatReadsSlowly() throws Exception {
        int bytes = 1_000_000;
        try (Socket caller = front.connect()) {
            for (int i = 0; i < ANSWERS; i++) {
                send(caller, request("l-" + i, 30, bytes));
            }
            pause(150);
            Future<?> stop = threads.submit(front::stop);

            assertThat(countAnswers(caller, ANSWERS, bytes, 300)).isEqualTo(ANSWERS);
            stop.get();
        }
    }
}
