package org.trefoilledge.wire;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.SocketChannel;
import io.netty.util.NetUtil;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.trefoilledge.wire.generated.Envelope;

/**
 * Sends requests to peers and receives requests from them. All requests to a peer address share one outgoing
 * connection; requests from a peer arrive over a connection that the peer opened. Thread-safe.
 */
public final class PeerTransport implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(PeerTransport.class);
    private static final int SHUTDOWN_TIMEOUT_MILLIS = 2_000;
    /** An incoming connection stops reading above 1 MiB of unwritten responses and resumes below 256 KiB. */
    private static final WriteBufferWaterMark WRITE_BUFFER_WATER_MARK =
            new WriteBufferWaterMark(256 * 1024, 1024 * 1024);

    private final PeerIdentity self;
    private final PeerHandler handler;
    private final TransportSettings settings;
    private final TransportCounters counters = new TransportCounters();
    private final AtomicLong lastStreamId = new AtomicLong();
    private final Map<String, OutgoingConnection> outgoingByAddress = new ConcurrentHashMap<>();
    private final Set<PeerConnection> connections = ConcurrentHashMap.newKeySet();
    private final EventLoopGroup group;
    private final boolean ownsGroup;
    private final Channel listener;
    private volatile Predicate<PeerIdentity> isBlocked = peer -> false;
    private volatile boolean closed;

    /**
     * Creates a transport with its own network threads, which listens on the address in the settings.
     *
     * @throws IOException if the address cannot be bound
     */
    public PeerTransport(PeerIdentity self, PeerHandler handler, TransportSettings settings) throws IOException {
        this(
                self,
                handler,
                settings,
                new MultiThreadIoEventLoopGroup(
                        settings.threads(), new DefaultThreadFactory("peer", true), SocketTransport.ioHandlerFactory()),
                true);
    }

    /**
     * Creates a transport on the given network threads, which the caller must shut down after closing this transport.
     *
     * @throws IOException if the address in the settings cannot be bound
     */
    public PeerTransport(PeerIdentity self, PeerHandler handler, TransportSettings settings, EventLoopGroup group)
            throws IOException {
        this(self, handler, settings, group, false);
    }

    private PeerTransport(
            PeerIdentity self, PeerHandler handler, TransportSettings settings, EventLoopGroup group, boolean ownsGroup)
            throws IOException {
        this.self = Objects.requireNonNull(self, "self");
        this.handler = Objects.requireNonNull(handler, "handler");
        this.settings = Objects.requireNonNull(settings, "settings");
        this.group = group;
        this.ownsGroup = ownsGroup;
        this.listener = listen();
    }

    /**
     * Sends a request and returns the future of its response. The future fails with a {@link PeerException} if the
     * request times out or exceeds the frame size, if the address is invalid, if the connection cannot be opened or
     * closes, or if too many bytes are waiting to be written to it. The future may complete on a network thread, so its
     * dependents must not block. A timeout does not cancel the request at the peer.
     */
    public CompletableFuture<Envelope> sendRequest(String address, Envelope request, long timeoutMillis) {
        PendingRequest pending = new PendingRequest(address, request, timeoutMillis);
        if (timeoutMillis <= 0) {
            pending.fail("no time left");
            return pending;
        }
        return submitIfWithinBound(pending);
    }

    /** Sends a request that does not time out: its sender must {@link #cancel} it if no response arrives in time. */
    public CompletableFuture<Envelope> sendRequest(String address, Envelope request) {
        return submitIfWithinBound(new PendingRequest(address, request, PendingRequest.NO_TIMEOUT));
    }

    private PendingRequest submitIfWithinBound(PendingRequest pending) {
        if (pending.frameBytes() > settings.maxFrameBytes()) {
            pending.fail("request of " + pending.frameBytes() + " bytes exceeds the frame bound");
        } else {
            submit(pending);
        }
        return pending;
    }

    /**
     * Ends a request and notifies the peer that its response is no longer needed. Has no effect if the response has
     * arrived. A request that timed out can be cancelled too.
     *
     * @param response a future returned by {@link #sendRequest}
     */
    public void cancel(CompletableFuture<Envelope> response) {
        if (!(response instanceof PendingRequest pending)) {
            throw new IllegalArgumentException("only a future returned by sendRequest can be cancelled");
        }
        OutgoingConnection connection = pending.connection();
        if (connection != null) {
            connection.cancel(pending);
        }
    }

    /**
     * Drops all messages to and from matching peers, without closing connections, until the next call of this method.
     * Simulates a network partition in tests.
     */
    public void setBlocked(Predicate<PeerIdentity> peers) {
        isBlocked = Objects.requireNonNull(peers, "peers");
    }

    /** Returns the IP address and port on which this transport listens. */
    public String address() {
        return NetUtil.toSocketAddressString((InetSocketAddress) listener.localAddress());
    }

    /** Returns the total size of the frames sent so far, in bytes. */
    public long bytesSent() {
        return counters.bytesSent();
    }

    /** Returns the total size of the frames received so far, in bytes. */
    public long bytesReceived() {
        return counters.bytesReceived();
    }

    /** Returns the number of responses that arrived after their request had ended. */
    public long lateResponses() {
        return counters.lateResponses();
    }

    /** Returns the number of open connections, incoming and outgoing. */
    public int openConnections() {
        return connections.size();
    }

    /** Returns whether responses have not been handed to the operating system yet. */
    public boolean hasUnwrittenResponses() {
        return connections.stream().anyMatch(PeerConnection::hasUnwrittenResponses);
    }

    /** Closes all connections and fails the open requests. Must not be called on a network thread. */
    @Override
    public void close() {
        closed = true;
        listener.close().awaitUninterruptibly();
        connections.forEach(connection -> connection.close("the transport is closed"));
        outgoingByAddress.values().forEach(connection -> connection.close("the transport is closed"));
        if (ownsGroup) {
            group.shutdownGracefully(0, SHUTDOWN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                    .awaitUninterruptibly(2L * SHUTDOWN_TIMEOUT_MILLIS);
        }
    }

    void submit(PendingRequest request) {
        if (closed) {
            request.fail("the transport is closed");
            return;
        }
        try {
            getOrOpenConnection(request.address()).submit(request);
        } catch (IllegalArgumentException e) {
            request.fail(e.getMessage());
        }
    }

    PeerIdentity identity() {
        return self;
    }

    PeerHandler handler() {
        return handler;
    }

    TransportSettings settings() {
        return settings;
    }

    TransportCounters counters() {
        return counters;
    }

    /** Returns a stream id that is unique among the requests of this transport. */
    long nextStreamId() {
        return lastStreamId.incrementAndGet();
    }

    boolean isBlocked(PeerIdentity peer) {
        return peer != null && isBlocked.test(peer);
    }

    /** Called when a connection has opened. */
    void opened(PeerConnection connection) {
        connections.add(connection);
    }

    /** Called when a connection has closed. */
    void closed(PeerConnection connection) {
        connections.remove(connection);
        if (connection instanceof OutgoingConnection outgoing) {
            retire(outgoing);
        }
    }

    /** Stops assigning new requests to the connection. */
    void retire(OutgoingConnection connection) {
        outgoingByAddress.remove(connection.address(), connection);
    }

    /** Closes the connections to earlier incarnations of the peer's host, or to another peer at the same address. */
    void closeReplacedConnections(PeerConnection connection) {
        for (PeerConnection other : connections) {
            if (replaces(connection, other)) {
                LOG.info(
                        "peer: {} replaces {}, closing the connection of the replaced peer",
                        connection.peer(),
                        other.peer());
                other.close("replaced by " + connection.peer());
            }
        }
    }

    private static boolean replaces(PeerConnection newer, PeerConnection older) {
        PeerIdentity olderPeer = older.peer();
        if (olderPeer == null || newer.peer().equals(olderPeer)) {
            return false;
        }
        return newer.peer().isLaterIncarnationOf(olderPeer) || haveSameAddress(newer, older);
    }

    private static boolean haveSameAddress(PeerConnection newer, PeerConnection older) {
        return newer instanceof OutgoingConnection newerOutgoing
                && older instanceof OutgoingConnection olderOutgoing
                && newerOutgoing.address().equals(olderOutgoing.address());
    }

    private OutgoingConnection getOrOpenConnection(String address) {
        OutgoingConnection existing = outgoingByAddress.get(address);
        if (existing != null) {
            return existing;
        }
        InetSocketAddress target = PeerAddress.parse(address);
        OutgoingConnection created = new OutgoingConnection(this, address, group.next());
        existing = outgoingByAddress.putIfAbsent(address, created);
        if (existing != null) {
            return existing;
        }
        connect(created, target);
        return created;
    }

    private void connect(OutgoingConnection connection, InetSocketAddress target) {
        new Bootstrap()
                .group(connection.eventLoop())
                .channel(SocketTransport.channelClass())
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, settings.connectTimeoutMillis())
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.SO_KEEPALIVE, true)
                .handler(createInitializer(() -> connection))
                .connect(target)
                .addListener(future -> handleConnectResult(connection, future.cause()));
    }

    private static void handleConnectResult(OutgoingConnection connection, Throwable cause) {
        if (cause == null) {
            connection.sendHello();
        } else {
            connection.onConnectFailed("cannot connect: " + cause.getMessage());
        }
    }

    private Channel listen() throws IOException {
        ChannelFuture bind = new ServerBootstrap()
                .group(group)
                .channel(SocketTransport.serverChannelClass())
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.SO_KEEPALIVE, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_BUFFER_WATER_MARK)
                .childHandler(createInitializer(() -> new IncomingConnection(this)))
                .bind(PeerAddress.parse(settings.listen()))
                .awaitUninterruptibly();
        if (!bind.isSuccess()) {
            if (ownsGroup) {
                group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).awaitUninterruptibly();
            }
            throw new IOException("cannot listen on " + settings.listen(), bind.cause());
        }
        return bind.channel();
    }

    private ChannelInitializer<SocketChannel> createInitializer(Supplier<PeerConnection> connection) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                channel.pipeline()
                        .addLast(new FrameDecoder(settings.maxFrameBytes(), counters))
                        .addLast(new FrameEncoder(counters))
                        .addLast(connection.get());
            }
        };
    }
}
