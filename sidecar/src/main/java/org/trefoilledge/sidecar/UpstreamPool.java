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
    private static final int CONNECT_MILLIS = 1_000;
    /** An upstream may forget an idle connection; a non-idempotent request must not be the one to find out. */
    private static final long FRESH_MILLIS = 1_000;
    /** Idle time after which no request uses a connection, if the upstream has not announced a shorter one. */
    private static final long IDLE_MILLIS = 4_000;

    private final EventLoopGroup traffic;
    private final InetSocketAddress address;
    private final HeaderNames names;
    private final BodyRoom room;
    private final Clock clock;
    private final Deque<UpstreamConnection> idle = new ArrayDeque<>();
    private long connectionsOpened;

    UpstreamPool(EventLoopGroup traffic, InetSocketAddress address, HeaderNames names, BodyRoom room, Clock clock) {
        this.traffic = traffic;
        this.address = address;
        this.names = names;
        this.room = room;
        this.clock = clock;
    }

    /** What the upstream is to be sent besides the call itself. */
    record Dispatch(Call call, String upstreamId, long deadlineMillis) {}

    /**
     * Sends a request to the upstream.
     *
     * @param answered takes the answer or a refusal, once, also after the returned action
     * @return breaks off the request; its connection closes
     */
    Runnable execute(Dispatch dispatch, Consumer<CallAnswer> answered) {
        UpstreamConnection connection = reusable(dispatch.call().getIdempotent());
        if (connection != null) {
            connection.send(dispatch, answered);
            return connection::abort;
        }
        return connect(dispatch, answered);
    }

    /** Closes the idle connections, for example because another upstream has the address now. */
    void closeIdle() {
        List.copyOf(idle).forEach(UpstreamConnection::close);
        idle.clear();
    }

    /** Closes connections that have been idle for too long. */
    void sweep() {
        long now = clock.millis();
        List<UpstreamConnection> old = new ArrayList<>();
        idle.removeIf(
                connection -> connection.idleMillis(now) > connection.idleBound(IDLE_MILLIS) && old.add(connection));
        old.forEach(UpstreamConnection::close);
    }

    long connectionsOpened() {
        return connectionsOpened;
    }

    void released(UpstreamConnection connection) {
        idle.addFirst(connection);
    }

    void closed(UpstreamConnection connection) {
        idle.remove(connection);
    }

    HeaderNames names() {
        return names;
    }

    BodyRoom room() {
        return room;
    }

    Clock clock() {
        return clock;
    }

    private UpstreamConnection reusable(boolean idempotent) {
        UpstreamConnection newest = idle.peekFirst();
        if (newest == null) {
            return null;
        }
        long bound = newest.idleBound(idempotent ? IDLE_MILLIS : FRESH_MILLIS);
        if (newest.idleMillis(clock.millis()) > bound) {
            return null;
        }
        return idle.pollFirst();
    }

    private Runnable connect(Dispatch dispatch, Consumer<CallAnswer> answered) {
        connectionsOpened++;
        UpstreamConnection connection = new UpstreamConnection(this);
        Pending pending = new Pending(connection, dispatch, answered);
        new Bootstrap()
                .group(traffic)
                .channel(SocketTransport.channel())
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS)
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
                .addListener((io.netty.channel.ChannelFuture done) -> pending.connected(done.channel(), done.cause()));
        return pending::abort;
    }

    /** A request whose connection is being opened. */
    private static final class Pending {
        private final UpstreamConnection connection;
        private final Dispatch dispatch;
        private final Consumer<CallAnswer> answered;
        private boolean aborted;
        private boolean sent;

        Pending(UpstreamConnection connection, Dispatch dispatch, Consumer<CallAnswer> answered) {
            this.connection = connection;
            this.dispatch = dispatch;
            this.answered = answered;
        }

        void connected(Channel channel, Throwable cause) {
            if (cause != null) {
                LOG.info("upstream: cannot connect: {}", cause.getMessage());
                answered.accept(Refusals.refusal(ErrorKind.NO_UPSTREAM, "the upstream accepts no connection"));
            } else if (aborted) {
                channel.close();
                answered.accept(Refusals.refusal(ErrorKind.DEADLINE_EXCEEDED, "cancelled before it was sent"));
            } else {
                sent = true;
                connection.send(dispatch, answered);
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
