import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.epoll.EpollIoHandler;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.unix.IntegerUnixChannelOption;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Predicate;

/**
 * Many clients of one machine, each with one connection on which it sends some requests ahead. They read their answers at
 * once, or slowly: some bytes at a time. Their segments and windows are small as on the users' links, not as on loopback.
 */
final class Crowd implements AutoCloseable {
    private static final int IPPROTO_TCP = 6;
    private static final int TCP_MAXSEG = 2;
    private static final int ETHERNET_SEGMENT_BYTES = 1_448;
    private static final int WINDOW_BYTES = 16 * 1024;
    /** Time between two reads of a client that reads slowly. */
    private static final long READ_INTERVAL_MILLIS = 100;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(
            1, new DefaultThreadFactory("crowd", true), EpollIoHandler.newFactory());
    private final Host host;
    private final RunLog record;
    private final List<Channel> channels = new ArrayList<>();
    private final List<Reader> readers = new ArrayList<>();
    private final AtomicLong bytesRead = new AtomicLong();
    private volatile boolean leaving;

    Crowd(Host host, RunLog record) {
        this.host = host;
        this.record = record;
    }

    /** Bytes of answers that all clients have read. */
    long bytesRead() {
        return bytesRead.get();
    }

    /** Returns the clients, each with the ends of its requests. */
    List<Reader> readers() {
        return readers;
    }

    /**
     * Opens a connection and sends requests on it.
     *
     * @param ids ids of the requests
     * @param slowBytes bytes that are read ten times a second; 0 to read at once
     */
    void join(List<String> ids, List<String> requests, int slowBytes) throws InterruptedException {
        Reader reader = new Reader(ids);
        readers.add(reader);
        Channel channel = new Bootstrap()
                .group(group)
                .channel(EpollSocketChannel.class)
                .option(new IntegerUnixChannelOption("TCP_MAXSEG", IPPROTO_TCP, TCP_MAXSEG), ETHERNET_SEGMENT_BYTES)
                .option(ChannelOption.SO_RCVBUF, WINDOW_BYTES)
                .option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(slowBytes > 0 ? slowBytes : 65_536)
                        .maxMessagesPerRead(1))
                .option(ChannelOption.AUTO_READ, slowBytes == 0)
                .handler(reader)
                .connect(host.ip(), Host.OUTBOUND)
                .sync()
                .channel();
        channels.add(channel);
        if (slowBytes > 0) {
            channel.eventLoop().scheduleWithFixedDelay(channel::read, READ_INTERVAL_MILLIS, READ_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
        channel.writeAndFlush(Unpooled.copiedBuffer(String.join("", requests), StandardCharsets.US_ASCII));
    }

    /** A client: reads the answers to its requests in their order. Used on the event loop until the run is over. */
    final class Reader extends ChannelInboundHandlerAdapter {
        private final List<String> ids;
        private final Set<String> answered = new HashSet<>();
        private final StringBuilder head = new StringBuilder();
        private int answers;
        private int successes;
        private int foreign;
        private boolean success;
        private boolean wrongBytes;
        private int bodyBytes;
        private int bodyBytesLeft = -1;
        private volatile long endMillis = -1;

        Reader(List<String> ids) {
            this.ids = ids;
        }

        /** Returns the time at which the system ended the connection, -1 if it did not. */
        long endMillis() {
            return endMillis;
        }

        /** Returns the number of complete answers with success. */
        int successes() {
            return successes;
        }

        /** Returns the number of complete answers with success whose body is not that of the backend. */
        int foreign() {
            return foreign;
        }

        /** Returns the ids of the requests that have no complete answer. */
        List<String> unanswered() {
            return ids.stream().filter(id -> !answered.contains(id)).toList();
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            ByteBuf bytes = (ByteBuf) message;
            bytesRead.addAndGet(bytes.readableBytes());
            while (bytes.isReadable()) {
                if (bodyBytesLeft < 0) {
                    readHead(bytes);
                } else {
                    readBody(bytes);
                }
                if (bodyBytesLeft == 0) {
                    endAnswer();
                }
            }
            bytes.release();
        }

        private void readBody(ByteBuf bytes) {
            String id = ids.get(answers);
            int count = Math.min(bodyBytesLeft, bytes.readableBytes());
            for (int i = 0; i < count; i++) {
                char expected = bodyBytes < id.length() ? id.charAt(bodyBytes) : '.';
                wrongBytes |= (char) bytes.readByte() != expected;
                bodyBytes++;
            }
            bodyBytesLeft -= count;
        }

        private void endAnswer() {
            String id = ids.get(answers++);
            answered.add(id);
            successes += success ? 1 : 0;
            if (success && wrongBytes) {
                foreign++;
                record.line("the body of the answer to " + id + " is not that of the backend");
            }
            bodyBytesLeft = -1;
        }

        private void readHead(ByteBuf bytes) {
            head.append((char) bytes.readByte());
            if (head.length() > 3 && head.substring(head.length() - 4).equals("\r\n\r\n")) {
                bodyBytesLeft = 0;
                bodyBytes = 0;
                wrongBytes = false;
                success = head.toString().startsWith("HTTP/1.1 200 ");
                for (String line : head.toString().split("\r\n")) {
                    if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
                        bodyBytesLeft = Integer.parseInt(line.substring(15).strip());
                    }
                }
                head.setLength(0);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (!leaving) {
                endMillis = record.millis();
                record.line("a connection of the crowd ended after " + answers + " of " + ids.size() + " answers");
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            record.line("a client of the crowd: " + cause.getMessage());
            context.close();
        }
    }

    /** Returns how many of the connections that the system ended had a request whose backend worked on it, unanswered. */
    long lost(Predicate<String> ran) {
        return readers.stream()
                .filter(reader -> reader.endMillis() >= 0 && reader.unanswered().stream().anyMatch(ran))
                .count();
    }

    @Override
    public void close() {
        leaving = true;
        channels.forEach(Channel::close);
        group.shutdownGracefully(0, 200, TimeUnit.MILLISECONDS).awaitUninterruptibly(1_000);
    }
}
