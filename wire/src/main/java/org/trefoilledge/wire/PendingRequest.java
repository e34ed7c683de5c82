package org.trefoilledge.wire;

import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.trefoilledge.wire.generated.Envelope;

/** A request of this side and the future of its response. */
final class PendingRequest extends CompletableFuture<Envelope> {
    /** Room for the stream id, which is set when the request is written. */
    private static final int MAX_STREAM_ID_BYTES = 11;

    private final String address;
    private final Envelope request;
    private final int frameBytes;
    private final long deadlineNanos;
    private volatile OutgoingConnection connection;

    // The remaining fields belong to the network thread of the connection.
    private ScheduledFuture<?> timer;
    private long streamId;
    private boolean rerouted;

    PendingRequest(String address, Envelope request, long timeoutMillis) {
        this.address = address;
        this.request = request;
        this.frameBytes = FrameEncoder.frameBytes(request) + MAX_STREAM_ID_BYTES;
        this.deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
    }

    String address() {
        return address;
    }

    int frameBytes() {
        return frameBytes;
    }

    long remainingNanos() {
        return deadlineNanos - System.nanoTime();
    }

    OutgoingConnection connection() {
        return connection;
    }

    void connection(OutgoingConnection chosen) {
        connection = chosen;
    }

    void timer(ScheduledFuture<?> scheduled) {
        timer = scheduled;
    }

    /** Returns the stream id, or 0 if the request was not handed to a connection. */
    long streamId() {
        return streamId;
    }

    Envelope assignStreamId(long id) {
        streamId = id;
        return request.toBuilder().setStream(id).setResponse(false).build();
    }

    /** Returns true once: a request that was not sent may move to another connection one time. */
    boolean tryMarkRerouted() {
        boolean first = !rerouted;
        rerouted = true;
        return first;
    }

    void completeWith(Envelope response) {
        cancelTimer();
        complete(response);
    }

    /** Fails the request; it counts as sent if it was handed to a connection. */
    void fail(String reason) {
        cancelTimer();
        completeExceptionally(new PeerException(address + ": " + reason, streamId != 0));
    }

    void cancelTimer() {
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
    }
}
