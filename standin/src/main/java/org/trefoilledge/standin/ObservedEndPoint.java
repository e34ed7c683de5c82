package org.trefoilledge.standin;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.function.Consumer;
import org.eclipse.jetty.io.EofException;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * A server connection that records the received bytes and detects that the peer closes it while a request runs, which
 * Jetty does not report for HTTP/1.1.
 */
final class ObservedEndPoint extends SocketChannelEndPoint {
    /** Creates observed connections. When one closes, received bytes that no request has taken go to the consumer. */
    static final class Connector extends ServerConnector {
        private final Consumer<byte[]> unprocessedBytes;

        Connector(Server server, HttpConnectionFactory http, Consumer<byte[]> unprocessedBytes) {
            super(server, 1, 1, http);
            this.unprocessedBytes = unprocessedBytes;
        }

        @Override
        protected SocketChannelEndPoint newEndPoint(SocketChannel channel, ManagedSelector selector, SelectionKey key) {
            SocketChannelEndPoint endPoint =
                    new ObservedEndPoint(channel, selector, key, getScheduler(), unprocessedBytes);
            endPoint.setIdleTimeout(getIdleTimeout());
            return endPoint;
        }
    }

    private static final int CLOSE_DETECTION_BUFFER_BYTES = 1024;

    private final Consumer<byte[]> unprocessedBytes;
    private final ByteArrayOutputStream received = new ByteArrayOutputStream();

    private ObservedEndPoint(
            SocketChannel channel,
            ManagedSelector selector,
            SelectionKey key,
            Scheduler scheduler,
            Consumer<byte[]> unprocessedBytes) {
        super(channel, selector, key, scheduler);
        this.unprocessedBytes = unprocessedBytes;
    }

    @Override
    public int fill(ByteBuffer buffer) throws IOException {
        int filled = super.fill(buffer);
        if (filled > 0) {
            byte[] bytes = new byte[filled];
            buffer.get(buffer.limit() - filled, bytes);
            synchronized (received) {
                received.writeBytes(bytes);
            }
        }
        return filled;
    }

    /** Returns and clears the bytes received since the last call of this method. */
    byte[] takeReceived() {
        synchronized (received) {
            byte[] bytes = received.toByteArray();
            received.reset();
            return bytes;
        }
    }

    @Override
    public void onClose(Throwable cause) {
        super.onClose(cause);
        unprocessedBytes.accept(takeReceived());
    }

    /** Runs the callback once if the connection closes or fails before {@link #stopWatchingForClose()}. */
    void watchForClose(Runnable onClosed) {
        tryFillInterested(Callback.from(() -> onReadable(onClosed), failure -> onWatchFailure(failure, onClosed)));
    }

    /** Must be called before the response is written, because Jetty then reads the next request from the connection. */
    void stopWatchingForClose() {
        getFillInterest().onFail(new WatchStoppedException());
    }

    /** Closes the connection with a TCP reset. */
    void closeWithReset() {
        try {
            getChannel().setOption(StandardSocketOptions.SO_LINGER, 0);
        } catch (IOException e) {
            close(e);
        }
        close();
    }

    private void onReadable(Runnable onClosed) {
        ByteBuffer buffer = ByteBuffer.allocate(CLOSE_DETECTION_BUFFER_BYTES).limit(0);
        try {
            int filled = fill(buffer);
            if (filled == 0) {
                watchForClose(onClosed);
                return;
            }
            if (filled > 0) {
                close(new IOException("the stand-in does not support pipelined requests"));
            }
        } catch (IOException e) {
            close(e);
        }
        onClosed.run();
    }

    private static void onWatchFailure(Throwable failure, Runnable onClosed) {
        if (!(failure instanceof WatchStoppedException)) {
            onClosed.run();
        }
    }

    private static final class WatchStoppedException extends EofException {
        private static final long serialVersionUID = 1L;
    }
}
