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

/** Connection pool for the upstream on this host. Not thread-safe: used on the traffic thread only. */
@SuppressWarnings("FutureReturnValueIgnored") // channel events and timers report failures
final class UpstreamPool {
    private static final Logger LOG = LoggerFactory.getLogger(UpstreamPool.class);
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    /**
     * Maximum idle time of a connection that sends a non-idempotent request. The upstream may have closed a connection
     * that has been idle for longer, and such a request cannot be retried.
     */
    private static final long MAX_IDLE_NON_IDEMPOTENT_MILLIS = 1_000;
    /** Maximum idle time of a connection, unless the upstream announces a short keep-alive timeout. */
    private static final long MAX_IDLE_MILLIS = 4_000;

    private final EventLoopGroup trafficGroup;
    private final InetSocketAddress address;
    private final HeaderNames headerNames;
    private final BodyMemoryLimit bodyMemory;
    private final Clock clock;
    private final Deque<UpstreamConnection> idleConnections = new ArrayDeque<>();
    private long connectionsOpened;

    UpstreamPool(
            EventLoopGroup trafficGroup,
            InetSocketAddress address,
            HeaderNames headerNames,
            BodyMemoryLimit bodyMemory,
            Clock clock) {
        this.trafficGroup = trafficGroup;
        this.address = address;
        this.headerNames = headerNames;
        this.bodyMemory = bodyMemory;
        this.clock = clock;
    }

    /** A call with the id of the upstream that is to execute it, and the time of its deadline. */
    record UpstreamRequest(Call call, String upstreamId, long deadlineMillis) {}

    /**
     * Sends a request to the upstream.
     *
     * @param onAnswer receives the answer or a refusal, exactly once, also if the request is aborted
     * @return an action that aborts the request and closes its connection
     */
    Runnable execute(UpstreamRequest request, Consumer<CallAnswer> onAnswer) {
        UpstreamConnection connection = pollReusable(request.call().getIdempotent());
        if (connection != null) {
            connection.send(request, onAnswer);
            return connection::abort;
        }
        return connect(request, onAnswer);
    }

    /** Closes all idle connections, for example because another upstream now listens on the address. */
    void closeIdle() {
        List.copyOf(idleConnections).forEach(UpstreamConnection::close);
        idleConnections.clear();
    }

    /** Closes the connections that have exceeded their maximum idle time. */
    void closeExpired() {
        long now = clock.millis();
        List<UpstreamConnection> expired = new ArrayList<>();
        idleConnections.removeIf(connection ->
                connection.idleMillis(now) > connection.maxIdleMillis(MAX_IDLE_MILLIS) && expired.add(connection));
        expired.forEach(UpstreamConnection::close);
    }

    /** Returns the number of connections that this pool has opened so far. */
    long connectionsOpened() {
        return connectionsOpened;
    }

    /** Returns an idle connection to the pool. */
    void release(UpstreamConnection connection) {
        idleConnections.addFirst(connection);
    }

    /** Removes a closed connection. */
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

    /** Removes and returns the most recently used idle connection, or returns null if none may be reused. */
    private UpstreamConnection pollReusable(boolean idempotent) {
        UpstreamConnection mostRecent = idleConnections.peekFirst();
        if (mostRecent == null) {
            return null;
        }
        long maxIdleMillis = mostRecent.maxIdleMillis(idempotent ? MAX_IDLE_MILLIS : MAX_IDLE_NON_IDEMPOTENT_MILLIS);
        if (mostRecent.idleMillis(clock.millis()) > maxIdleMillis) {
            return null;
        }
        return idleConnections.pollFirst();
    }

    private Runnable connect(UpstreamRequest request, Consumer<CallAnswer> onAnswer) {
        connectionsOpened++;
        UpstreamConnection connection = new UpstreamConnection(this);
        PendingConnect pending = new PendingConnect(connection, request, onAnswer);
        new Bootstrap()
                .group(trafficGroup)
                .channel(SocketTransport.channelClass())
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
                .addListener((io.netty.channel.ChannelFuture future) ->
                        pending.handleConnectResult(future.channel(), future.cause()));
        return pending::abort;
    }

    /** A request that waits for its connection to open. */
    private static final class PendingConnect {
        private final UpstreamConnection connection;
        private final UpstreamRequest request;
        private final Consumer<CallAnswer> onAnswer;
        private boolean aborted;
        private boolean sent;

        PendingConnect(UpstreamConnection connection, UpstreamRequest request, Consumer<CallAnswer> onAnswer) {
            this.connection = connection;
            this.request = request;
            this.onAnswer = onAnswer;
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
