package org.trefoilledge.wire;

import io.netty.channel.ChannelHandlerContext;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.RejectedExecutionException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.trefoilledge.wire.generated.Envelope;

/** A connection that a peer opened for its requests. */
final class IncomingConnection extends PeerConnection {
    private static final Logger LOG = LoggerFactory.getLogger(IncomingConnection.class);

    /** Responses of calls that already ran are worth more room than new requests. */
    private static final long RESPONSE_BYTES_FACTOR = 4;

    private final Set<Long> openStreams = new HashSet<>();
    private long lastStreamId;
    private long unwrittenBytes;

    IncomingConnection(PeerTransport transport) {
        super(transport);
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
        long stream = envelope.getStream();
        // Streams grow on a connection, so a repeated frame can never run a request a second time.
        if (envelope.getResponse() || Long.compareUnsigned(stream, lastStreamId) <= 0) {
            throw new ProtocolException("message is not a new request");
        }
        lastStreamId = stream;
        openStreams.add(stream);
        handleRequest(envelope);
    }

    private void handleRequest(Envelope request) {
        long stream = request.getStream();
        try {
            transport().handler().handle(peer(), request, response -> respond(stream, response));
        } catch (RuntimeException e) {
            LOG.error("peer: handling a request of {} failed", peer(), e);
            openStreams.remove(stream);
        }
    }

    private void handleCancel(long stream) {
        if (openStreams.remove(stream)) {
            notifyCancelled(stream);
        }
    }

    private void notifyCancelled(long stream) {
        try {
            transport().handler().onCancelled(peer(), stream);
        } catch (RuntimeException e) {
            LOG.error("peer: handling a cancellation of {} failed", peer(), e);
        }
    }

    private void respond(long stream, Envelope response) {
        if (channel().eventLoop().inEventLoop()) {
            respondInEventLoop(stream, response);
            return;
        }
        try {
            channel().eventLoop().execute(() -> respondInEventLoop(stream, response));
        } catch (RejectedExecutionException e) {
            LOG.debug("peer: dropped a response to {}, the transport is closed", peer());
        }
    }

    private void respondInEventLoop(long stream, Envelope response) {
        if (!openStreams.remove(stream) || isBlocked()) {
            return;
        }
        Envelope envelope =
                response.toBuilder().setStream(stream).setResponse(true).build();
        int bytes = FrameEncoder.frameBytes(envelope);
        if (envelope.getSerializedSize() > transport().settings().maxFrameBytes()) {
            LOG.error("peer: dropped a response of {} bytes to {}, it exceeds the frame bound", bytes, peer());
            return;
        }
        unwrittenBytes += bytes;
        if (unwrittenBytes > RESPONSE_BYTES_FACTOR * transport().settings().maxUnwrittenBytes()) {
            closeInEventLoop("the peer does not read its responses");
            return;
        }
        channel().writeAndFlush(envelope).addListener(written -> unwrittenBytes -= bytes);
    }

    /** Reads no further requests while the peer does not read the responses. */
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
    boolean hasPendingRequests() {
        return !openStreams.isEmpty();
    }
}
