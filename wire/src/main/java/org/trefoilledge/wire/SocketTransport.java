package org.trefoilledge.wire;

import io.netty.channel.IoHandlerFactory;
import io.netty.channel.epoll.Epoll;
import io.netty.channel.epoll.EpollIoHandler;
import io.netty.channel.epoll.EpollServerSocketChannel;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.ServerSocketChannel;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;

/** Selects the Netty transport of this process: epoll if available, because it needs less CPU time, otherwise NIO. */
public final class SocketTransport {
    private static final boolean EPOLL = Epoll.isAvailable();

    private SocketTransport() {}

    /** Returns the I/O handler factory for event loop groups. */
    public static IoHandlerFactory ioHandlerFactory() {
        return EPOLL ? EpollIoHandler.newFactory() : NioIoHandler.newFactory();
    }

    /** Returns the channel class for connections. */
    public static Class<? extends SocketChannel> channelClass() {
        return EPOLL ? EpollSocketChannel.class : NioSocketChannel.class;
    }

    /** Returns the channel class for listening sockets. */
    public static Class<? extends ServerSocketChannel> serverChannelClass() {
        return EPOLL ? EpollServerSocketChannel.class : NioServerSocketChannel.class;
    }
}
