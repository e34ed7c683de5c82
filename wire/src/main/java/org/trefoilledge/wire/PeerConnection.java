package org.trefoilledge.wire;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.trefoilledge.wire.generated.Envelope;

/** A connection to a peer. Fields that are not volatile are accessed only on the connection's event loop. */
abstract class PeerConnection extends SimpleChannelInboundHandler<Envelope> {
    private static final Logger LOG = LoggerFactory.getLogger(PeerConnection.class);

    private final PeerTransport transport;
    private final long idleMillis;
    private final Runnable flush = this::flush;
    private volatile Channel channel;
    private volatile PeerIdentity peer;
    private String closeReason;
    private ScheduledFuture<?> handshakeTimer;
    private ScheduledFuture<?> idleTimer;
    private boolean usedSinceIdleCheck;
    private boolean flushScheduled;

    /**
     * @param idleMillis time without a message and an open request after which the connection is closed, at the latest
     *     after twice this time
     */
    PeerConnection(PeerTransport transport, long idleMillis) {
        super(Envelope.class);
        this.transport = transport;
        this.idleMillis = idleMillis;
    }

    /** Called once when the peer's identity has been received. */
    abstract void onEstablished();

    /** Called for each message of an identified peer that is not blocked. */
    abstract void onMessage(Envelope envelope) throws ProtocolException;

    /** Called once when the connection has closed. */
    abstract void onClosed(String reason);

    /** Returns whether any request is waiting for its response. */
    abstract boolean hasPendingRequests();

    /** Returns whether responses have not been handed to the operating system yet; may be called from any thread. */
    boolean hasUnwrittenResponses() {
        return false;
    }

    PeerTransport transport() {
        return transport;
    }

    Channel channel() {
        return channel;
    }

    /** Returns the peer's identity, or null until it has been received. */
    PeerIdentity peer() {
        return peer;
    }

    boolean isBlocked() {
        return transport.isBlocked(peer);
    }

    /** Closes the connection; may be called from any thread. */
    void close(String reason) {
        Channel current = channel;
        if (current != null) {
            current.eventLoop().execute(() -> closeInEventLoop(reason));
        }
    }

    /** Closes the connection; must be called on the event loop. The first reason is kept. */
    @SuppressWarnings("FutureReturnValueIgnored") // channelInactive is called whether or not the close succeeds
    void closeInEventLoop(String reason) {
        if (closeReason == null) {
            closeReason = reason;
        }
        channel.close();
    }

    void sendHello() {
        writeOrClose(
                Envelope.newBuilder().setHello(transport.identity().toHello()).build());
    }

    /** Writes a message and closes the connection if that fails. */
    void writeOrClose(Envelope envelope) {
        write(envelope).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
    }

    /** Writes a message. All messages of one iteration of the event loop are flushed together. */
    ChannelFuture write(Envelope envelope) {
        usedSinceIdleCheck = true;
        ChannelFuture written = channel.write(envelope);
        if (!flushScheduled) {
            flushScheduled = true;
            channel.eventLoop().execute(flush);
        }
        return written;
    }

    private void flush() {
        flushScheduled = false;
        channel.flush();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        channel = context.channel();
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        transport.opened(this);
        int timeout = transport.settings().connectTimeoutMillis();
        handshakeTimer = context.executor()
                .schedule(
                        () -> closeInEventLoop("no identity within " + timeout + " ms"),
                        timeout,
                        TimeUnit.MILLISECONDS);
        scheduleIdleCheck();
    }

    private void scheduleIdleCheck() {
        idleTimer = channel.eventLoop().schedule(this::closeIfIdle, idleMillis, TimeUnit.MILLISECONDS);
    }

    private void closeIfIdle() {
        if (!usedSinceIdleCheck && !hasPendingRequests()) {
            closeInEventLoop("idle");
            return;
        }
        usedSinceIdleCheck = false;
        scheduleIdleCheck();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        transport.closed(this);
        if (handshakeTimer != null) {
            handshakeTimer.cancel(false);
            idleTimer.cancel(false);
        }
        onClosed(closeReason == null ? "the peer closed the connection" : closeReason);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Envelope envelope) throws ProtocolException {
        // The buffer may already hold frames that follow a malformed one; these must not be processed.
        if (closeReason != null) {
            return;
        }
        usedSinceIdleCheck = true;
        if (envelope.hasHello()) {
            completeHandshake(PeerIdentity.fromHello(envelope.getHello()));
        } else if (peer == null) {
            throw new ProtocolException("first message is not a Hello");
        } else if (!isBlocked()) {
            onMessage(envelope);
        }
    }

    private void completeHandshake(PeerIdentity identity) throws ProtocolException {
        if (peer != null) {
            throw new ProtocolException("second Hello on one connection");
        }
        if (transport.isBlocked(identity)) {
            return;
        }
        peer = identity;
        handshakeTimer.cancel(false);
        transport.closeReplacedConnections(this);
        onEstablished();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        Throwable root = cause instanceof DecoderException && cause.getCause() != null ? cause.getCause() : cause;
        if (root instanceof ProtocolException) {
            LOG.warn("peer: closing the connection to {}: {}", peerName(), root.getMessage());
        } else {
            LOG.debug("peer: connection to {} failed", peerName(), root);
        }
        closeInEventLoop(root.getMessage());
    }

    private String peerName() {
        return peer == null ? String.valueOf(channel.remoteAddress()) : peer.toString();
    }
}
