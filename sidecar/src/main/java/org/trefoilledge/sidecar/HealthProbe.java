package org.trefoilledge.sidecar;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.trefoilledge.wire.SocketTransport;

/** Sends health probes to the upstream on this host, each on a connection of its own. Used on the traffic thread. */
@SuppressWarnings("FutureReturnValueIgnored") // the connect listener and the handler report failures
final class HealthProbe {
    private static final Logger LOG = LoggerFactory.getLogger(HealthProbe.class);
    /** Below the shortest interval between probes, so that at most one is in flight. */
    private static final int TIMEOUT_MILLIS = 800;

    private static final int MAX_BODY_BYTES = 64 * 1024;

    private final EventLoopGroup trafficGroup;
    private final InetSocketAddress address;
    private final HeaderNames headerNames;

    HealthProbe(EventLoopGroup trafficGroup, InetSocketAddress address, HeaderNames headerNames) {
        this.trafficGroup = trafficGroup;
        this.address = address;
        this.headerNames = headerNames;
    }

    /**
     * The response to a probe.
     *
     * @param upstreamId id of the upstream that has responded
     * @param coldMillis time for which it is still cold, 0 if it is warm
     */
    record Health(String upstreamId, long coldMillis) {}

    /** Sends a probe; the result is empty if there is no valid response. It arrives exactly once. */
    void send(String path, Consumer<Optional<Health>> onResult) {
        ResponseHandler handler = new ResponseHandler(path, onResult);
        new Bootstrap()
                .group(trafficGroup)
                .channel(SocketTransport.channelClass())
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, TIMEOUT_MILLIS)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline()
                                .addLast(new ReadTimeoutHandler(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS))
                                .addLast(new HttpClientCodec())
                                .addLast(new HttpObjectAggregator(MAX_BODY_BYTES))
                                .addLast(handler);
                    }
                })
                .connect(address)
                .addListener(connected -> {
                    if (!connected.isSuccess()) {
                        handler.complete(
                                Optional.empty(),
                                "cannot connect: " + connected.cause().getMessage());
                    }
                });
    }

    private final class ResponseHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final String path;
        private final Consumer<Optional<Health>> onResult;
        private boolean completed;

        ResponseHandler(String path, Consumer<Optional<Health>> onResult) {
            this.path = path;
            this.onResult = onResult;
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            FullHttpRequest request =
                    new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path, Unpooled.EMPTY_BUFFER);
            request.headers().set(HttpHeaderNames.HOST, Sidecar.formatAddress(address));
            request.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            context.writeAndFlush(request);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            Optional<Health> health = toHealth(response);
            complete(health, "invalid response with status " + response.status().code());
            context.close();
        }

        private Optional<Health> toHealth(FullHttpResponse response) {
            boolean expected = response.status().equals(HttpResponseStatus.OK)
                    || response.status().equals(HttpResponseStatus.SERVICE_UNAVAILABLE);
            String id = response.headers().get(headerNames.upstreamId());
            OptionalLong coldMillis = parseMillis(response.headers().get(headerNames.coldMillis()));
            return response.decoderResult().isSuccess() && expected && id != null && coldMillis.isPresent()
                    ? Optional.of(new Health(id, coldMillis.getAsLong()))
                    : Optional.empty();
        }

        /** Returns 0 for an absent header, and nothing for one that is not a number of milliseconds. */
        private static OptionalLong parseMillis(String text) {
            if (text == null) {
                return OptionalLong.of(0);
            }
            try {
                double millis = Double.parseDouble(text);
                return millis >= 0 && millis < Integer.MAX_VALUE
                        ? OptionalLong.of((long) Math.ceil(millis))
                        : OptionalLong.empty();
            } catch (NumberFormatException e) {
                LOG.info("upstream: health probe: {} is not a time in milliseconds", text);
                return OptionalLong.empty();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            complete(Optional.empty(), "the upstream closed the connection");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            complete(Optional.empty(), String.valueOf(cause));
            context.close();
        }

        void complete(Optional<Health> health, String reason) {
            if (completed) {
                return;
            }
            completed = true;
            if (health.isEmpty()) {
                LOG.info("upstream: health probe failed: {}", reason);
            }
            onResult.accept(health);
        }
    }
}
