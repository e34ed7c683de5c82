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
 * A connection that keeps the bytes received and notices when the other side closes it while a request runs, which
 * Jetty does not report for HTTP/1.1.
 */
final class ObservedEndPoint extends SocketChannelEndPoint {
    /** Creates the connections of a server. The consumer gets bytes that never became a request. */
    static final class Connector extends ServerConnector {
        private final Consumer<byte[]> unprocessedBytes;

        Connector(Server server, HttpConnectionFactory http, Consumer<byte[]> leftOver) {
            super(server, 1, 1, http);
            this.unprocessedBytes = leftOver;
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
            Consumer<byte[]> leftOver) {
        super(channel, selector, key, scheduler);
        this.unprocessedBytes = leftOver;
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

    /** Returns the bytes received since the last call of this method. */
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

    /** Calls back once if the other side closes the connection before {@link #stopWatchingForClose()}. */
    void watchForClose(Runnable closed) {
        tryFillInterested(Callback.from(() -> onReadable(closed), failure -> onWatchFailure(failure, closed)));
    }

    /** Must be called before the response is written, because Jetty then waits for the next request. */
    void stopWatchingForClose() {
        getFillInterest().onFail(new WatchStoppedException());
    }

    /** Closes the connection so that the other side sees a reset. */
    void closeWithReset() {
        try {
            getChannel().setOption(StandardSocketOptions.SO_LINGER, 0);
        } catch (IOException e) {
            close(e);
        }
        close();
    }

    private void onReadable(Runnable closed) {
        ByteBuffer buffer = ByteBuffer.allocate(CLOSE_DETECTION_BUFFER_BYTES).limit(0);
        try {
            int filled = fill(buffer);
            if (filled == 0) {
                watchForClose(closed);
                return;
            }
            if (filled > 0) {
                close(new IOException("the stand-in does not support pipelined requests"));
            }
        } catch (IOException e) {
            close(e);
        }
        closed.run();
    }

    private static void onWatchFailure(Throwable failure, Runnable closed) {
        if (!(failure instanceof WatchStoppedException)) {
            closed.run();
        }
    }

    private static final class WatchStoppedException extends EofException {
        private static final long serialVersionUID = 1L;
    }
}
