package org.trefoilledge.wire;

import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
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
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Selects the Netty transport of this process: epoll if available, because it needs less CPU time, otherwise NIO. */
public final class SocketTransport {
    private static final Logger LOG = LoggerFactory.getLogger(SocketTransport.class);
    private static final boolean EPOLL = Epoll.isAvailable();
    /** State of a connection in {@code tcp_info} whose end of output the other side has acknowledged. */
    private static final int TCP_FIN_WAIT_2 = 5;

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

    /**
     * Returns whether the host of the peer has acknowledged all bytes of a connection whose output was shut down. False if
     * the transport cannot tell.
     */
    public static boolean isOutputAcknowledged(Channel channel) {
        try {
            return channel instanceof EpollSocketChannel socket
                    && socket.tcpInfo().state() >= TCP_FIN_WAIT_2;
        } catch (ChannelException e) {
            LOG.debug("cannot read the state of the connection with {}", channel.remoteAddress(), e);
            return false;
        }
    }
}
