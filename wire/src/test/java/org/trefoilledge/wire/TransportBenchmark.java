package org.trefoilledge.wire;

import com.google.protobuf.ByteString;
import java.util.Arrays;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.concurrent.locks.LockSupport;
import org.trefoilledge.wire.generated.Call;
import org.trefoilledge.wire.generated.Envelope;

/** Measures round trips between two transports of this process over loopback. Not a test: it checks nothing. */
@SuppressWarnings("FutureReturnValueIgnored") // the answers are counted where they arrive
public final class TransportBenchmark {
    private static final int BODY_BYTES = 1024;
    private static final int RATE_PER_SECOND = 260;
    private static final int WARM_UP_SECONDS = 5;
    private static final int MEASURED_SECONDS = 20;
    private static final int TIMEOUT_MILLIS = 10_000;
    private static final int MAX_IN_FLIGHT = 256;
    private static final int REQUESTS = 500_000;

    private static final Envelope REQUEST = Envelope.newBuilder()
            .setCall(Call.newBuilder().setTarget("/orders").setBody(ByteString.copyFrom(new byte[BODY_BYTES])))
            .build();

    private TransportBenchmark() {}

    /** Prints the latency at a fixed rate, then the throughput with many requests in flight. */
    public static void main(String[] arguments) throws Exception {
        TransportSettings settings = TransportSettings.of("127.0.0.1:0");
        try (PeerTransport server =
                        new PeerTransport(PeerTestSupport.identity("b", 1), PeerTestSupport.ECHO, settings);
                PeerTransport client =
                        new PeerTransport(PeerTestSupport.identity("a", 1), PeerTestSupport.SILENT, settings)) {
            measureLatency(client, server.address(), WARM_UP_SECONDS);
            measureLatency(client, server.address(), MEASURED_SECONDS);
            measureThroughput(client, server.address());
            measureThroughput(client, server.address());
        }
    }

    /** Sends at a fixed rate. The delay of the sender shows how much of the latency is the machine's. */
    private static void measureLatency(PeerTransport client, String address, int seconds) throws Exception {
        int count = RATE_PER_SECOND * seconds;
        long[] delays = new long[count];
        long[] nanos = new long[count];
        CountDownLatch done = new CountDownLatch(count);
        long start = System.nanoTime();
        for (int i = 0; i < count; i++) {
            int index = i;
            long due = start + i * TimeUnit.SECONDS.toNanos(1) / RATE_PER_SECOND;
            while (System.nanoTime() < due) {
                LockSupport.parkNanos(due - System.nanoTime());
            }
            long sent = System.nanoTime();
            delays[i] = sent - due;
            client.sendRequest(address, REQUEST, TIMEOUT_MILLIS).thenAccept(answer -> {
                nanos[index] = System.nanoTime() - sent;
                done.countDown();
            });
        }
        if (!done.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)) {
            throw new IllegalStateException(done.getCount() + " requests failed");
        }
        printPercentiles("sender's delay", delays);
        printPercentiles("round trip", nanos);
    }

    private static void printPercentiles(String what, long[] nanos) {
        Arrays.sort(nanos);
        System.out.printf(
                "%s, %d requests at %d/s: p50 %d us, p99 %d us, max %d us%n",
                what,
                nanos.length,
                RATE_PER_SECOND,
                nanos[nanos.length / 2] / 1_000,
                nanos[nanos.length * 99 / 100] / 1_000,
                nanos[nanos.length - 1] / 1_000);
    }

    private static void measureThroughput(PeerTransport client, String address) throws InterruptedException {
        Semaphore inFlight = new Semaphore(MAX_IN_FLIGHT);
        LongAdder failures = new LongAdder();
        long start = System.nanoTime();
        for (int i = 0; i < REQUESTS; i++) {
            inFlight.acquire();
            client.sendRequest(address, REQUEST, TIMEOUT_MILLIS).whenComplete((answer, failure) -> {
                if (failure != null) {
                    failures.increment();
                }
                inFlight.release();
            });
        }
        inFlight.acquire(MAX_IN_FLIGHT);
        double seconds = (System.nanoTime() - start) / 1e9;
        System.out.printf(
                "%.0f round trips/s of %d byte bodies, %d in flight, %d failures%n",
                REQUESTS / seconds, BODY_BYTES, MAX_IN_FLIGHT, failures.sum());
    }
}
