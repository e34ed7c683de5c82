package org.trefoilledge.wire;

import java.util.concurrent.atomic.LongAdder;

/** Counts the bytes and the late responses of a transport. Thread-safe. */
final class TransportCounters {
    private final LongAdder sent = new LongAdder();
    private final LongAdder received = new LongAdder();
    private final LongAdder late = new LongAdder();

    /** Adds the size of a sent frame. */
    void sent(long bytes) {
        sent.add(bytes);
    }

    /** Adds the size of a received frame. */
    void received(long bytes) {
        received.add(bytes);
    }

    /** Counts a response that arrived after its request had ended. */
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
