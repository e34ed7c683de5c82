package org.trefoilledge.sidecar;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.trefoilledge.core.Clock;
import org.trefoilledge.core.ErrorKind;
import org.trefoilledge.wire.SocketTransport;
import org.trefoilledge.wire.generated.Call;
import org.trefoilledge.wire.generated.CallAnswer;

/** The connections to the upstream on this host. Used on the traffic thread. */
@SuppressWarnings("FutureReturnValueIgnored") // channel events and timers report how such an operation ended
final class UpstreamPool {
    private static final Logger LOG = LoggerFactory.getLogger(UpstreamPool.class);
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    /** An upstream may forget an idle connection; a non-idempotent request must not be the one to find out. */
    private static final long MAX_IDLE_NON_IDEMPOTENT_MILLIS = 1_000;
    /** Idle time after which no request uses a connection, if the upstream has not announced a shorter one. */
    private static final long MAX_IDLE_MILLIS = 4_000;

    private final EventLoopGroup trafficGroup;
    private final InetSocketAddress address;
    private final HeaderNames headerNames;
    private final BodyMemoryLimit bodyMemory;
    private final Clock clock;
    private final Deque<UpstreamConnection> idleConnections = new ArrayDeque<>();
    private long connectionsOpened;

    UpstreamPool(
            EventLoopGroup traffic, InetSocketAddress address, HeaderNames names, BodyMemoryLimit room, Clock clock) {
        this.trafficGroup = traffic;
        this.address = address;
        this.headerNames = names;
        this.bodyMemory = room;
        this.clock = clock;
    }

    /** What the upstream is to be sent besides the call itself. */
    record UpstreamRequest(Call call, String upstreamId, long deadlineMillis) {}

    /**
     * Sends a request to the upstream.
     *
     * @param answered takes the answer or a refusal, once, also after the returned action
     * @return breaks off the request; its connection closes
     */
    Runnable execute(UpstreamRequest dispatch, Consumer<CallAnswer> answered) {
        UpstreamConnection connection = pollReusable(dispatch.call().getIdempotent());
        if (connection != null) {
            connection.send(dispatch, answered);
            return connection::abort;
        }
        return connect(dispatch, answered);
    }

    /** Closes the idle connections, for example because another upstream has the address now. */
    void closeIdle() {
        List.copyOf(idleConnections).forEach(UpstreamConnection::close);
        idleConnections.clear();
    }

    /** Closes connections that have been idle for too long. */
    void closeExpired() {
        long now = clock.millis();
        List<UpstreamConnection> old = new ArrayList<>();
        idleConnections.removeIf(connection ->
                connection.idleMillis(now) > connection.maxIdleMillis(MAX_IDLE_MILLIS) && old.add(connection));
        old.forEach(UpstreamConnection::close);
    }

    long connectionsOpened() {
        return connectionsOpened;
    }

    void release(UpstreamConnection connection) {
        idleConnections.addFirst(connection);
    }

    void remove(UpstreamConnection connection) {
        idleConnections.remove(connection);
    }

    HeaderNames headerNames() {
        return headerNames;
    }

    BodyMemoryLimit bodyMemory() {
        return bodyMemory;
    }

    Clock clock() {
        return clock;
    }

    private UpstreamConnection pollReusable(boolean idempotent) {
        UpstreamConnection newest = idleConnections.peekFirst();
        if (newest == null) {
            return null;
        }
        long bound = newest.maxIdleMillis(idempotent ? MAX_IDLE_MILLIS : MAX_IDLE_NON_IDEMPOTENT_MILLIS);
        if (newest.idleMillis(clock.millis()) > bound) {
            return null;
        }
        return idleConnections.pollFirst();
    }

    private Runnable connect(UpstreamRequest dispatch, Consumer<CallAnswer> answered) {
        connectionsOpened++;
        UpstreamConnection connection = new UpstreamConnection(this);
        PendingConnect pending = new PendingConnect(connection, dispatch, answered);
        new Bootstrap()
                .group(trafficGroup)
                .channel(SocketTransport.channel())
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline()
                                .addLast(connection.decoder())
                                .addLast(new HttpRequestEncoder())
                                .addLast(connection);
                    }
                })
                .connect(address)
                .addListener((io.netty.channel.ChannelFuture done) ->
                        pending.handleConnectResult(done.channel(), done.cause()));
        return pending::abort;
    }

    /** A request whose connection is being opened. */
    private static final class PendingConnect {
        private final UpstreamConnection connection;
        private final UpstreamRequest request;
        private final Consumer<CallAnswer> onAnswer;
        private boolean aborted;
        private boolean sent;

        PendingConnect(UpstreamConnection connection, UpstreamRequest dispatch, Consumer<CallAnswer> answered) {
            this.connection = connection;
            this.request = dispatch;
            this.onAnswer = answered;
        }

        void handleConnectResult(Channel channel, Throwable cause) {
            if (cause != null) {
                LOG.info("upstream: cannot connect: {}", cause.getMessage());
                onAnswer.accept(Refusals.refusal(ErrorKind.NO_UPSTREAM, "the upstream accepts no connection"));
            } else if (aborted) {
                channel.close();
                onAnswer.accept(Refusals.refusal(ErrorKind.DEADLINE_EXCEEDED, "cancelled before it was sent"));
            } else {
                sent = true;
                connection.send(request, onAnswer);
            }
        }

        void abort() {
            aborted = true;
            if (sent) {
                connection.abort();
            }
        }
    }
}
