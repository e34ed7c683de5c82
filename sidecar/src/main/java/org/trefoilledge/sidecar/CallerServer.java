package org.trefoilledge.sidecar;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import org.trefoilledge.core.Clock;
import org.trefoilledge.core.routing.CallerLimits;
import org.trefoilledge.wire.SocketTransport;

/**
 * HTTP/1.1 server for callers. Pipelined requests run concurrently and are answered in request order. All methods but
 * {@link #listen} and {@link #close} run on the traffic thread.
 */
@SuppressWarnings("FutureReturnValueIgnored") // channel events and timers report failures
final class CallerServer implements AutoCloseable {
    /** Length of the accept queue. If it is full, a connection attempt is delayed by seconds. */
    private static final int ACCEPT_BACKLOG = 4_096;

    private static final int MAX_REQUEST_LINE_BYTES = 16 * 1024;
    /** Interval between the checks for slow and idle connections. */
    private static final long TIMEOUT_CHECK_MILLIS = 500;

    private final EventLoopGroup trafficGroup;
    private final RequestHandler handler;
    private final Supplier<CallerLimits> limits;
    private final BodyMemoryLimit bodyMemory;
    private final Clock clock;
    private final DeferredActions deferred;
    private final Set<CallerConnection> connections = new LinkedHashSet<>();
    private Channel listener;
    private boolean requestClose;
    private boolean stopped;

    CallerServer(
            EventLoopGroup trafficGroup,
            RequestHandler handler,
            Supplier<CallerLimits> limits,
            BodyMemoryLimit bodyMemory,
            Clock clock) {
        this.trafficGroup = trafficGroup;
        this.handler = handler;
        this.limits = limits;
        this.bodyMemory = bodyMemory;
        this.clock = clock;
        this.deferred = new DeferredActions(trafficGroup.next());
    }

    /**
     * Starts to listen. Must be called once; any thread may call it.
     *
     * @throws IOException if the address cannot be bound
     */
    void listen(InetSocketAddress address) throws IOException {
        var bindFuture = new ServerBootstrap()
                .group(trafficGroup)
                .channel(SocketTransport.serverChannelClass())
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        HttpDecoderConfig config = new HttpDecoderConfig()
                                .setMaxInitialLineLength(MAX_REQUEST_LINE_BYTES)
                                .setMaxHeaderSize(limits.get().maxHeaderBytes());
                        CallerConnection.RequestDecoder decoder = new CallerConnection.RequestDecoder(config);
                        channel.pipeline()
                                .addLast(decoder)
                                .addLast(new HttpResponseEncoder())
                                .addLast(new CallerConnection(CallerServer.this, decoder));
                    }
                })
                .bind(address)
                .awaitUninterruptibly();
        if (!bindFuture.isSuccess()) {
            throw new IOException("cannot listen on " + address, bindFuture.cause());
        }
        listener = bindFuture.channel();
        Repeated.scheduleWithFixedDelay(trafficGroup.next(), TIMEOUT_CHECK_MILLIS, this::checkTimeouts);
    }

    /** From now on, closes each connection after its last open response, which carries Connection: close. */
    void requestClose() {
        requestClose = true;
    }

    /** Stops accepting connections and requests. Closes each connection once its open requests are answered. */
    void stopAccepting() {
        stopped = true;
        if (listener != null) {
            listener.close();
        }
        List.copyOf(connections).forEach(CallerConnection::closeAfterResponses);
    }

    /** Answers all open requests as of unknown outcome. */
    void abandonOpenRequests() {
        List.copyOf(connections).forEach(CallerConnection::abandonOpenRequests);
    }

    /** Returns whether any connection has an unanswered request or an unwritten answer. */
    boolean isBusy() {
        return connections.stream().anyMatch(CallerConnection::isBusy);
    }

    /** Returns whether the callers' hosts have received everything on all connections. */
    boolean isDelivered() {
        return connections.stream().allMatch(CallerConnection::isDelivered);
    }

    boolean requestsClose() {
        return requestClose;
    }

    RequestHandler handler() {
        return handler;
    }

    CallerLimits limits() {
        return limits.get();
    }

    /** Returns the queue of requests that are handled once the closes that have arrived with them are processed. */
    DeferredActions deferred() {
        return deferred;
    }

    BodyMemoryLimit bodyMemory() {
        return bodyMemory;
    }

    Clock clock() {
        return clock;
    }

    void connectionOpened(CallerConnection connection) {
        connections.add(connection);
        if (stopped) {
            connection.closeAfterResponses();
        }
    }

    void connectionClosed(CallerConnection connection) {
        connections.remove(connection);
    }

    private void checkTimeouts() {
        long now = clock.millis();
        CallerLimits current = limits.get();
        List.copyOf(connections).forEach(connection -> connection.checkTimeouts(now, current));
    }

    @Override
    public void close() {
        trafficGroup.next().execute(() -> {
            stopAccepting();
            List.copyOf(connections).forEach(CallerConnection::closeNow);
        });
    }
}
