package org.trefoilledge.sidecar;

import io.netty.channel.Channel;
import io.netty.channel.socket.SocketChannel;
import org.trefoilledge.wire.SocketTransport;

/**
 * Closes a caller's connection without losing the responses that the caller has not read yet. Shuts down the output first
 * and keeps the socket until the caller closes: a close with unread input, or input that arrives after it, resets the
 * connection, and the operating system then drops what it still holds to be sent.
 */
@SuppressWarnings("FutureReturnValueIgnored") // channel events report failures
final class GracefulClose {
    /** Time for the caller to read what its host has received, and to close. */
    private static final long CALLER_CLOSE_MILLIS = 1_000;
    /** Longest time for which a connection is kept for a caller that does not read. */
    private static final long MAX_UNREAD_MILLIS = 15_000;

    private final Channel channel;
    private boolean started;
    private long startedMillis;

    GracefulClose(Channel channel) {
        this.channel = channel;
    }

    boolean started() {
        return started;
    }

    /**
     * Must be called once all responses have been handed to the operating system.
     *
     * @param readOn whether further input is read and ignored. Without, a request that crosses the close counts as unread,
     *     so that its caller can send it again.
     */
    void start(long now, boolean readOn) {
        if (!started) {
            started = true;
            startedMillis = now;
            ((SocketChannel) channel).shutdownOutput();
            channel.config().setAutoRead(readOn);
        }
    }

    /** Returns whether the caller's host has everything, so that the end of this process loses nothing. */
    boolean delivered() {
        return started && SocketTransport.isOutputAcknowledged(channel);
    }

    /** Closes the connection if the caller has had enough time. */
    void checkTimeout(long now) {
        long elapsed = now - startedMillis;
        if (elapsed > MAX_UNREAD_MILLIS || (elapsed > CALLER_CLOSE_MILLIS && delivered())) {
            channel.close();
        }
    }
}
