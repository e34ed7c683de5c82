package org.trefoilledge.wire;

import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.trefoilledge.wire.generated.Envelope;

/** A request to a peer, and the future of its response. */
final class PendingRequest extends CompletableFuture<Envelope> {
    /** Upper bound for the encoded stream id, which is added when the request is sent. */
    private static final int MAX_STREAM_ID_BYTES = 11;

    /** Timeout of a request that its sender cancels. */
    static final long NO_TIMEOUT = Long.MAX_VALUE;

    private final String address;
    private final Envelope request;
    private final int frameBytes;
    private final boolean timesOut;
    private final long deadlineNanos;
    private volatile OutgoingConnection connection;

    // The remaining fields are accessed only on the connection's event loop.
    private ScheduledFuture<?> timer;
    private long streamId;
    private boolean rerouted;

    PendingRequest(String address, Envelope request, long timeoutMillis) {
        this.address = address;
        this.request = request;
        this.frameBytes = FrameEncoder.frameBytes(request) + MAX_STREAM_ID_BYTES;
        this.timesOut = timeoutMillis != NO_TIMEOUT;
        this.deadlineNanos = timesOut ? System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis) : 0;
    }

    String address() {
        return address;
    }

    int frameBytes() {
        return frameBytes;
    }

    boolean timesOut() {
        return timesOut;
    }

    long remainingNanos() {
        return deadlineNanos - System.nanoTime();
    }

    OutgoingConnection connection() {
        return connection;
    }

    void connection(OutgoingConnection newConnection) {
        connection = newConnection;
    }

    void timer(ScheduledFuture<?> newTimer) {
        timer = newTimer;
    }

    /** Returns the stream id, or 0 if the request has not been sent. */
    long streamId() {
        return streamId;
    }

    /** Assigns the stream id and returns the envelope to send. */
    Envelope assignStreamId(long newStreamId) {
        streamId = newStreamId;
        return request.toBuilder().setStream(newStreamId).setResponse(false).build();
    }

    /** Returns true on the first call only: an unsent request may move to another connection once. */
    boolean tryMarkRerouted() {
        boolean first = !rerouted;
        rerouted = true;
        return first;
    }

    void completeWith(Envelope response) {
        cancelTimer();
        complete(response);
    }

    /** Fails the request with a {@link PeerException}, which reports it as possibly sent if it has a stream id. */
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
