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
 * Listens for callers. Requests of one connection run at the same time and are answered in the order in which they
 * came. All methods but {@link #close} run on the traffic thread.
 */
@SuppressWarnings("FutureReturnValueIgnored") // channel events and timers report how such an operation ended
final class CallerServer implements AutoCloseable {
    /** Connections that wait to be accepted; a full queue costs a caller seconds. */
    private static final int ACCEPT_BACKLOG = 4_096;

    private static final int MAX_REQUEST_LINE_BYTES = 16 * 1024;
    /** Interval at which slow and idle connections are looked for. */
    private static final long TIMEOUT_CHECK_MILLIS = 500;

    private final EventLoopGroup trafficGroup;
    private final RequestHandler handler;
    private final Supplier<CallerLimits> limits;
    private final BodyMemoryLimit bodyMemory;
    private final Clock clock;
    private final Set<CallerConnection> connections = new LinkedHashSet<>();
    private Channel listener;
    private boolean requestClose;

    CallerServer(
            EventLoopGroup traffic,
            RequestHandler handler,
            Supplier<CallerLimits> limits,
            BodyMemoryLimit room,
            Clock clock) {
        this.trafficGroup = traffic;
        this.handler = handler;
        this.limits = limits;
        this.bodyMemory = room;
        this.clock = clock;
    }

    /** Starts to listen; to be called once, on any thread. */
    void listen(InetSocketAddress address) throws IOException {
        var bound = new ServerBootstrap()
                .group(trafficGroup)
                .channel(SocketTransport.serverChannel())
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
        if (!bound.isSuccess()) {
            throw new IOException("cannot listen on " + address, bound.cause());
        }
        listener = bound.channel();
        Repeated.every(trafficGroup.next(), TIMEOUT_CHECK_MILLIS, this::checkTimeouts);
    }

    /** From now on each answer asks the caller to close its connection. */
    void requestClose() {
        requestClose = true;
    }

    /** Takes no further connections and requests, and closes the connections that wait for no answer. */
    void stopAccepting() {
        if (listener != null) {
            listener.close();
        }
        List.copyOf(connections).forEach(CallerConnection::closeAfterResponses);
    }

    /** Returns the number of requests that wait for their answer. */
    int openRequests() {
        return connections.stream().mapToInt(CallerConnection::openRequests).sum();
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

    BodyMemoryLimit bodyMemory() {
        return bodyMemory;
    }

    Clock clock() {
        return clock;
    }

    void connectionOpened(CallerConnection connection) {
        connections.add(connection);
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
