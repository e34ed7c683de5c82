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

/** Measures round trips between two transports of this process over loopback. It is not a test and checks nothing. */
@SuppressWarnings("FutureReturnValueIgnored") // callbacks count the responses
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

    /**
     * Measures latency at a fixed rate. Also reports the delay of the sender, which shows how much of the latency the
     * machine causes.
     */
    private static void measureLatency(PeerTransport client, String address, int seconds) throws Exception {
        int count = RATE_PER_SECOND * seconds;
        long[] delayNanos = new long[count];
        long[] roundTripNanos = new long[count];
        CountDownLatch pending = new CountDownLatch(count);
        long startNanos = System.nanoTime();
        for (int i = 0; i < count; i++) {
            int index = i;
            long dueNanos = startNanos + i * TimeUnit.SECONDS.toNanos(1) / RATE_PER_SECOND;
            while (System.nanoTime() < dueNanos) {
                LockSupport.parkNanos(dueNanos - System.nanoTime());
            }
            long sentNanos = System.nanoTime();
            delayNanos[i] = sentNanos - dueNanos;
            client.sendRequest(address, REQUEST, TIMEOUT_MILLIS).thenAccept(response -> {
                roundTripNanos[index] = System.nanoTime() - sentNanos;
                pending.countDown();
            });
        }
        if (!pending.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)) {
            throw new IllegalStateException(pending.getCount() + " requests failed");
        }
        printPercentiles("sender's delay", delayNanos);
        printPercentiles("round trip", roundTripNanos);
    }

    private static void printPercentiles(String name, long[] nanos) {
        Arrays.sort(nanos);
        System.out.printf(
                "%s, %d requests at %d/s: p50 %d us, p99 %d us, max %d us%n",
                name,
                nanos.length,
                RATE_PER_SECOND,
                nanos[nanos.length / 2] / 1_000,
                nanos[nanos.length * 99 / 100] / 1_000,
                nanos[nanos.length - 1] / 1_000);
    }

    private static void measureThroughput(PeerTransport client, String address) throws InterruptedException {
        Semaphore inFlight = new Semaphore(MAX_IN_FLIGHT);
        LongAdder failures = new LongAdder();
        long startNanos = System.nanoTime();
        for (int i = 0; i < REQUESTS; i++) {
            inFlight.acquire();
            client.sendRequest(address, REQUEST, TIMEOUT_MILLIS).whenComplete((response, failure) -> {
                if (failure != null) {
                    failures.increment();
                }
                inFlight.release();
            });
        }
        inFlight.acquire(MAX_IN_FLIGHT);
        double seconds = (System.nanoTime() - startNanos) / 1e9;
        System.out.printf(
                "%.0f round trips/s of %d byte bodies, %d in flight, %d failures%n",
                REQUESTS / seconds, BODY_BYTES, MAX_IN_FLIGHT, failures.sum());
    }
}
