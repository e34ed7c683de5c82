package org.trefoilledge.wire;

import io.netty.channel.ChannelHandlerContext;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.RejectedExecutionException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.trefoilledge.wire.generated.Envelope;

/** A connection opened by a peer, over which the peer sends its requests. */
final class IncomingConnection extends PeerConnection {
    private static final Logger LOG = LoggerFactory.getLogger(IncomingConnection.class);

    /**
     * Bound for unwritten response bytes, as a multiple of the bound for requests. Responses get more, because their
     * calls have already run.
     */
    private static final long RESPONSE_BYTES_FACTOR = 4;

    /**
     * Idle time as a multiple of that of the peer, which closes after at most twice its own. The peer opened the connection
     * and must close it first: otherwise it could send a request while this side closes.
     */
    private static final long IDLE_FACTOR = 3;

    private final Set<Long> openStreams = new HashSet<>();
    private long lastStreamId;
    /** Changed on the event loop only. */
    private volatile long unwrittenBytes;

    IncomingConnection(PeerTransport transport) {
        super(transport, IDLE_FACTOR * transport.settings().idleMillis());
    }

    @Override
    void onEstablished() {
        sendHello();
    }

    @Override
    void onMessage(Envelope envelope) throws ProtocolException {
        if (envelope.hasCancel()) {
            handleCancel(envelope.getStream());
            return;
        }
        long streamId = envelope.getStream();
        // Stream ids increase on each connection, so a repeated frame never executes its request a second time.
        if (envelope.getResponse() || Long.compareUnsigned(streamId, lastStreamId) <= 0) {
            throw new ProtocolException("message is not a new request");
        }
        lastStreamId = streamId;
        openStreams.add(streamId);
        handleRequest(envelope);
    }

    private void handleRequest(Envelope request) {
        long streamId = request.getStream();
        try {
            transport().handler().handle(peer(), request, response -> respond(streamId, response));
        } catch (RuntimeException e) {
            LOG.error("peer: handling a request from {} failed", peer(), e);
            openStreams.remove(streamId);
        }
    }

    private void handleCancel(long streamId) {
        if (openStreams.remove(streamId)) {
            notifyCancelled(streamId);
        }
    }

    private void notifyCancelled(long streamId) {
        try {
            transport().handler().onCancelled(peer(), streamId);
        } catch (RuntimeException e) {
            LOG.error("peer: handling a cancellation from {} failed", peer(), e);
        }
    }

    private void respond(long streamId, Envelope response) {
        if (channel().eventLoop().inEventLoop()) {
            respondInEventLoop(streamId, response);
            return;
        }
        try {
            channel().eventLoop().execute(() -> respondInEventLoop(streamId, response));
        } catch (RejectedExecutionException e) {
            LOG.debug("peer: dropped a response to {} because the transport is closed", peer());
        }
    }

    private void respondInEventLoop(long streamId, Envelope response) {
        if (!openStreams.remove(streamId) || isBlocked()) {
            return;
        }
        Envelope envelope =
                response.toBuilder().setStream(streamId).setResponse(true).build();
        int bytes = FrameEncoder.frameBytes(envelope);
        if (envelope.getSerializedSize() > transport().settings().maxFrameBytes()) {
            LOG.error(
                    "peer: dropped a response of {} bytes to {} because it exceeds the maximum frame size",
                    bytes,
                    peer());
            return;
        }
        addUnwritten(bytes);
        if (unwrittenBytes > RESPONSE_BYTES_FACTOR * transport().settings().maxUnwrittenBytes()) {
            closeInEventLoop("the peer does not read its responses");
            return;
        }
        write(envelope).addListener(future -> addUnwritten(-bytes));
    }

    @SuppressWarnings("NonAtomicVolatileUpdate") // only the event loop writes the field
    private void addUnwritten(int bytes) {
        unwrittenBytes += bytes;
    }

    /** Stops reading requests while the peer does not read its responses and too many response bytes are unwritten. */
    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        context.channel().config().setAutoRead(context.channel().isWritable());
        context.fireChannelWritabilityChanged();
    }

    @Override
    void onClosed(String reason) {
        Set<Long> unanswered = Set.copyOf(openStreams);
        openStreams.clear();
        unanswered.forEach(this::notifyCancelled);
    }

    @Override
    boolean hasUnwrittenResponses() {
        return unwrittenBytes > 0;
    }

    @Override
    boolean hasPendingRequests() {
        return !openStreams.isEmpty();
    }
}
