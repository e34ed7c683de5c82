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
    private static final int BACKLOG = 4_096;

    private static final int MAX_REQUEST_LINE_BYTES = 16 * 1024;
    /** Interval at which slow and idle connections are looked for. */
    private static final long SWEEP_MILLIS = 500;

    private final EventLoopGroup traffic;
    private final RequestHandler handler;
    private final Supplier<CallerLimits> limits;
    private final BodyRoom room;
    private final Clock clock;
    private final Set<CallerConnection> connections = new LinkedHashSet<>();
    private Channel listener;
    private boolean stopping;

    CallerServer(
            EventLoopGroup traffic, RequestHandler handler, Supplier<CallerLimits> limits, BodyRoom room, Clock clock) {
        this.traffic = traffic;
        this.handler = handler;
        this.limits = limits;
        this.room = room;
        this.clock = clock;
    }

    /** Starts to listen; to be called once, on any thread. */
    void listen(InetSocketAddress address) throws IOException {
        var bound = new ServerBootstrap()
                .group(traffic)
                .channel(SocketTransport.serverChannel())
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
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
        Repeated.every(traffic.next(), SWEEP_MILLIS, this::sweep);
    }

    /** From now on each answer asks the caller to close its connection. */
    void stopping() {
        stopping = true;
    }

    /** Takes no further connections and requests, and closes the connections that wait for no answer. */
    void refuseWork() {
        if (listener != null) {
            listener.close();
        }
        List.copyOf(connections).forEach(CallerConnection::closeWhenAnswered);
    }

    /** Returns the number of requests that wait for their answer. */
    int openRequests() {
        return connections.stream().mapToInt(CallerConnection::openRequests).sum();
    }

    boolean isStopping() {
        return stopping;
    }

    RequestHandler handler() {
        return handler;
    }

    CallerLimits limits() {
        return limits.get();
    }

    BodyRoom room() {
        return room;
    }

    Clock clock() {
        return clock;
    }

    void opened(CallerConnection connection) {
        connections.add(connection);
    }

    void closed(CallerConnection connection) {
        connections.remove(connection);
    }

    private void sweep() {
        long now = clock.millis();
        CallerLimits current = limits.get();
        List.copyOf(connections).forEach(connection -> connection.checkTime(now, current));
    }

    @Override
    public void close() {
        traffic.next().execute(() -> {
            refuseWork();
            List.copyOf(connections).forEach(CallerConnection::closeNow);
        });
    }
}
