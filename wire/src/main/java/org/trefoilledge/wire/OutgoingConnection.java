package org.trefoilledge.wire;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.trefoilledge.wire.generated.Cancel;
import org.trefoilledge.wire.generated.Envelope;

/** A connection that this transport opens to a peer, over which it sends requests. */
final class OutgoingConnection extends PeerConnection {
    private final String address;
    private final EventLoop eventLoop;
    private final AtomicInteger unwrittenBytes = new AtomicInteger();
    private final Queue<PendingRequest> unsentRequests = new ArrayDeque<>();
    private final Map<Long, PendingRequest> openRequests = new HashMap<>();
    /** False if new requests must use another connection. */
    private boolean accepting = true;

    private long lastStreamId;
    /**
     * Time since which no response has arrived: the time of the last response if other requests were open then,
     * otherwise the time of the first request sent after it; 0 until that request is sent.
     */
    private long silentSinceNanos;

    OutgoingConnection(PeerTransport transport, String address, EventLoop eventLoop) {
        super(transport, transport.settings().idleMillis());
        this.address = address;
        this.eventLoop = eventLoop;
    }

    String address() {
        return address;
    }

    EventLoop eventLoop() {
        return eventLoop;
    }

    /** Sends a request as soon as the connection is established; may be called from any thread. */
    void submit(PendingRequest request) {
        request.connection(this);
        if (!reserveBytes(request.frameBytes())) {
            request.fail("too many unwritten bytes");
            return;
        }
        if (eventLoop.inEventLoop()) {
            submitInEventLoop(request);
            return;
        }
        try {
            eventLoop.execute(() -> submitInEventLoop(request));
        } catch (RejectedExecutionException e) {
            request.fail("the transport is closed");
        }
    }

    /** Reserves unwritten bytes; returns false if they would exceed the bound. */
    private boolean reserveBytes(int bytes) {
        int bound = transport().settings().maxUnwrittenBytes();
        int before =
                unwrittenBytes.getAndUpdate(unwritten -> unwritten + bytes <= bound ? unwritten + bytes : unwritten);
        return before + bytes <= bound;
    }

    private void releaseBytes(PendingRequest request) {
        unwrittenBytes.addAndGet(-request.frameBytes());
    }

    private void submitInEventLoop(PendingRequest request) {
        if (request.isDone()) {
            releaseBytes(request);
            return;
        }
        if (!accepting) {
            reroute(request);
            return;
        }
        if (request.timesOut()) {
            long remainingNanos = Math.max(0, request.remainingNanos());
            request.timer(eventLoop.schedule(() -> expire(request), remainingNanos, TimeUnit.NANOSECONDS));
        }
        if (peer() == null) {
            unsentRequests.add(request);
        } else {
            send(request);
        }
    }

    /** Submits an unsent request to another connection, at most once. */
    private void reroute(PendingRequest request) {
        releaseBytes(request);
        if (request.tryMarkRerouted()) {
            transport().submit(request);
        } else {
            request.fail("the connection closed before the request was sent");
        }
    }

    private void send(PendingRequest request) {
        long streamId = transport().nextStreamId();
        lastStreamId = streamId;
        Envelope envelope = request.assignStreamId(streamId);
        openRequests.put(streamId, request);
        if (silentSinceNanos == 0) {
            silentSinceNanos = System.nanoTime();
        }
        if (isBlocked()) {
            releaseBytes(request);
            return;
        }
        write(envelope).addListener(future -> onWritten(request, future.cause()));
    }

    private void onWritten(PendingRequest request, Throwable cause) {
        releaseBytes(request);
        if (cause != null && openRequests.remove(request.streamId()) != null) {
            request.fail("cannot write: " + cause.getMessage());
        }
    }

    private void expire(PendingRequest request) {
        if (unsentRequests.remove(request)) {
            releaseBytes(request);
            request.fail("timed out before the connection was established");
            return;
        }
        if (openRequests.remove(request.streamId()) != null) {
            request.fail("timed out");
            retireIfStalled();
        }
        closeIfRetired();
    }

    /**
     * Sends no new requests on a connection on which nothing arrives. After a partition, TCP may take minutes to
     * retransmit, whereas a new connection opens within a second. Called when a request ends without a response.
     */
    private void retireIfStalled() {
        long silentMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - silentSinceNanos);
        if (accepting
                && silentSinceNanos != 0
                && silentMillis >= transport().settings().stallMillis()) {
            stopAccepting();
        }
    }

    private void stopAccepting() {
        accepting = false;
        transport().retire(this);
    }

    private void closeIfRetired() {
        if (!accepting && openRequests.isEmpty() && unsentRequests.isEmpty()) {
            closeInEventLoop("no response for too long");
        }
    }

    /** Ends a request and notifies the peer; may be called from any thread. */
    void cancel(PendingRequest request) {
        try {
            eventLoop.execute(() -> cancelInEventLoop(request));
        } catch (RejectedExecutionException e) {
            request.fail("the transport is closed");
        }
    }

    private void cancelInEventLoop(PendingRequest request) {
        boolean unanswered = !request.isDone() || request.isCompletedExceptionally();
        if (unsentRequests.remove(request)) {
            releaseBytes(request);
        }
        if (openRequests.remove(request.streamId()) != null) {
            retireIfStalled();
        }
        if (unanswered && request.streamId() != 0) {
            sendCancel(request.streamId());
        }
        request.fail("cancelled");
        closeIfRetired();
    }

    private void sendCancel(long streamId) {
        if (channel().isActive() && !isBlocked()) {
            writeOrClose(Envelope.newBuilder()
                    .setStream(streamId)
                    .setCancel(Cancel.getDefaultInstance())
                    .build());
        }
    }

    /** Fails all requests because the connection could not be opened. */
    void onConnectFailed(String reason) {
        transport().retire(this);
        onClosed(reason);
    }

    @Override
    void onEstablished() {
        PendingRequest next;
        while ((next = unsentRequests.poll()) != null) {
            send(next);
        }
    }

    @Override
    void onMessage(Envelope envelope) throws ProtocolException {
        long streamId = envelope.getStream();
        if (!envelope.getResponse() || Long.compareUnsigned(streamId, lastStreamId) > 0) {
            throw new ProtocolException("message is not a response to a request of this connection");
        }
        silentSinceNanos = openRequests.size() > 1 ? System.nanoTime() : 0;
        PendingRequest request = openRequests.remove(streamId);
        if (request == null) {
            transport().counters().late();
            return;
        }
        request.completeWith(envelope);
        closeIfRetired();
    }

    @Override
    void closeInEventLoop(String reason) {
        if (accepting) {
            stopAccepting();
        }
        super.closeInEventLoop(reason);
    }

    @Override
    void onClosed(String reason) {
        accepting = false;
        List<PendingRequest> unsent = new ArrayList<>(unsentRequests);
        List<PendingRequest> unanswered = new ArrayList<>(openRequests.values());
        unsentRequests.clear();
        openRequests.clear();
        unsent.forEach(request -> {
            releaseBytes(request);
            request.fail(reason);
        });
        unanswered.forEach(request -> request.fail(reason));
    }

    @Override
    boolean hasPendingRequests() {
        return !openRequests.isEmpty() || !unsentRequests.isEmpty();
    }
}
