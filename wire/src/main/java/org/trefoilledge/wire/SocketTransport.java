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

/** The kind of sockets of this process: epoll where the system has it, because it needs less processor time, else NIO. */
public final class SocketTransport {
    private static final boolean EPOLL = Epoll.isAvailable();

    private SocketTransport() {}

    /** Returns the factory of the handlers that threads of an event loop group need. */
    public static IoHandlerFactory ioHandlerFactory() {
        return EPOLL ? EpollIoHandler.newFactory() : NioIoHandler.newFactory();
    }

    /** Returns the type of connections. */
    public static Class<? extends SocketChannel> channelClass() {
        return EPOLL ? EpollSocketChannel.class : NioSocketChannel.class;
    }

    /** Returns the type of listeners. */
    public static Class<? extends ServerSocketChannel> serverChannelClass() {
        return EPOLL ? EpollServerSocketChannel.class : NioServerSocketChannel.class;
    }
}
