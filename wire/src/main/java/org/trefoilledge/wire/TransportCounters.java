package org.trefoilledge.wire;

import java.util.concurrent.atomic.LongAdder;

/** Counters of a transport. Thread-safe. */
final class TransportCounters {
    private final LongAdder sent = new LongAdder();
    private final LongAdder received = new LongAdder();
    private final LongAdder late = new LongAdder();

    void sent(long bytes) {
        sent.add(bytes);
    }

    void received(long bytes) {
        received.add(bytes);
    }

    void late() {
        late.increment();
    }

    long bytesSent() {
        return sent.sum();
    }

    long bytesReceived() {
        return received.sum();
    }

    long lateResponses() {
        return late.sum();
    }
}
