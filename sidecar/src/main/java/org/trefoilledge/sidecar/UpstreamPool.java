package org.trefoilledge.sidecar;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFutureListener;
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
import java.util.concurrent.atomic.AtomicLong;
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
    private final DeferredActions unsent;
    private final Deque<UpstreamConnection> idleConnections = new ArrayDeque<>();
    private Consumer<String> onConnectionLost = reason -> {};
    private int establishedConnections;
    private final AtomicLong connectionsOpened = new AtomicLong();
    private final AtomicLong unexpectedBytes = new AtomicLong();

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
        this.unsent = new DeferredActions(trafficGroup.next());
    }

    /** Decides at the last moment whether a request may be sent. */
    @FunctionalInterface
    interface SendPermit {
        /** Returns the refusal of a request that must not be sent now, or null if it is sent now. */
        CallAnswer refusal();
    }

    /** A call with the id of the upstream that is to execute it, the time of its deadline and the permit to send it. */
    record UpstreamRequest(Call call, String upstreamId, long deadlineMillis, SendPermit permit) {
        /** Creates a request that may be sent at any time. */
        UpstreamRequest(Call call, String upstreamId, long deadlineMillis) {
            this(call, upstreamId, deadlineMillis, () -> null);
        }
    }

    /** A request that is being sent or executed. */
    interface Execution {
        /** Aborts the request: it is not sent, or its connection is closed. */
        void abort();

        /** Aborts the request if it has not been sent. */
        void abortIfUnsent();
    }

    /**
     * Sends a request to the upstream once the events that have already arrived are processed, so that an abort among
     * them comes first. A request whose deadline passes before it is sent is refused.
     *
     * @param onAnswer receives the answer or a refusal, exactly once, also if the request is aborted
     */
    Execution execute(UpstreamRequest request, Consumer<CallAnswer> onAnswer) {
        PendingSend pending = new PendingSend(request, onAnswer);
        unsent.add(pending::send);
        return pending;
    }

    /** Sets what happens, with a reason, when the upstream refuses or closes a connection without having said so. */
    void onConnectionLost(Consumer<String> listener) {
        onConnectionLost = listener;
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

    /** Returns the number of connections that this pool has opened so far. Thread-safe. */
    long connectionsOpened() {
        return connectionsOpened.get();
    }

    /** Returns an idle connection to the pool. */
    void release(UpstreamConnection connection) {
        idleConnections.addFirst(connection);
    }

    /** Records that a connection was established. */
    void recordEstablished() {
        establishedConnections++;
    }

    /** Removes a connection that is about to close, so that no request is sent on it. */
    void discard(UpstreamConnection connection) {
        idleConnections.remove(connection);
    }

    /** Removes a closed connection. */
    void remove(UpstreamConnection connection) {
        establishedConnections--;
        discard(connection);
    }

    /** Records that bytes have arrived on a connection that belong to no request. */
    void recordUnexpectedBytes() {
        unexpectedBytes.incrementAndGet();
    }

    /** Returns how often bytes have arrived that belong to no request. Thread-safe. */
    long unexpectedBytes() {
        return unexpectedBytes.get();
    }

    /**
     * Records that the upstream has closed a connection without having said so. Upstreams close idle connections at will,
     * but one that restarts closes all of them.
     *
     * @param idle whether no request was in flight on the connection
     */
    void recordConnectionLost(boolean idle) {
        if (!idle) {
            onConnectionLost.accept("a connection broke");
        } else if (establishedConnections == 0) {
            onConnectionLost.accept("the last connection was closed");
        }
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

    private void connect(UpstreamConnection connection, ChannelFutureListener onResult) {
        connectionsOpened.incrementAndGet();
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
                .addListener(onResult);
    }

    /** A request that waits to be sent, on an idle connection or on one that opens for it. */
    private final class PendingSend implements Execution {
        private final UpstreamRequest request;
        private final Consumer<CallAnswer> onAnswer;
        private boolean aborted;
        /** The connection that the request was sent on, null until then. */
        private UpstreamConnection usedConnection;

        PendingSend(UpstreamRequest request, Consumer<CallAnswer> onAnswer) {
            this.request = request;
            this.onAnswer = onAnswer;
        }

        void send() {
            if (refuseIfOver()) {
                return;
            }
            UpstreamConnection idle = pollReusable(request.call().getIdempotent());
            if (idle != null) {
                if (refuseIfNotPermitted()) {
                    release(idle);
                } else {
                    sendOn(idle);
                }
                return;
            }
            UpstreamConnection opening = new UpstreamConnection(UpstreamPool.this);
            connect(opening, connected -> handleConnectResult(opening, connected.cause()));
        }

        private void handleConnectResult(UpstreamConnection connection, Throwable cause) {
            if (cause == null) {
                unsent.add(() -> sendOnOpened(connection));
                return;
            }
            LOG.info("upstream: cannot connect: {}", cause.getMessage());
            onConnectionLost.accept("it accepts no connection");
            onAnswer.accept(Refusals.refusal(ErrorKind.NO_UPSTREAM, "the upstream accepts no connection"));
        }

        private void sendOnOpened(UpstreamConnection connection) {
            if (!connection.isOpen()) {
                onAnswer.accept(
                        Refusals.refusal(ErrorKind.OVERLOADED, "the connection closed before the request was sent"));
            } else if (refuseIfOver() || refuseIfNotPermitted()) {
                connection.releaseUnused();
            } else {
                sendOn(connection);
            }
        }

        private void sendOn(UpstreamConnection connection) {
            usedConnection = connection;
            connection.send(request, onAnswer);
        }

        /** Refuses the request if it was aborted or its deadline has passed; returns whether it was refused. */
        private boolean refuseIfOver() {
            boolean expired = clock.millis() >= request.deadlineMillis();
            if (aborted || expired) {
                String reason = aborted ? "cancelled before it was sent" : "the time for it ended before it was sent";
                onAnswer.accept(Refusals.refusal(ErrorKind.DEADLINE_EXCEEDED, reason));
            }
            return aborted || expired;
        }

        private boolean refuseIfNotPermitted() {
            CallAnswer refusal = request.permit().refusal();
            if (refusal != null) {
                onAnswer.accept(refusal);
            }
            return refusal != null;
        }

        @Override
        public void abort() {
            aborted = true;
            if (usedConnection != null) {
                usedConnection.abort();
            }
        }

        @Override
        public void abortIfUnsent() {
            aborted |= usedConnection == null;
        }
    }
}
