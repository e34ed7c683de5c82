package org.trefoilledge.sidecar;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpServerKeepAliveHandler;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.trefoilledge.wire.SocketTransport;

/** HTTP server for readiness, announcements and metrics. */
@SuppressWarnings("FutureReturnValueIgnored") // channel events and timers report failures
final class Endpoint implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(Endpoint.class);
    private static final int MAX_BODY_BYTES = 64 * 1024;

    private final Channel listener;

    /** Handles a request. Runs on an event loop and must not block; the response may follow later. */
    @FunctionalInterface
    interface Handler {
        CompletableFuture<Response> handle(String method, String path, byte[] body);
    }

    /** An HTTP response. */
    record Response(int status, String contentType, String body) {
        /** Returns a response whose body is an empty JSON object. */
        static Response emptyJson(int status) {
            return new Response(status, "application/json", "{}");
        }
    }

    /**
     * Starts the server.
     *
     * @throws IOException if the address cannot be bound
     */
    Endpoint(InetSocketAddress address, EventLoopGroup group, Handler handler) throws IOException {
        var bindFuture = new ServerBootstrap()
                .group(group)
                .channel(SocketTransport.serverChannelClass())
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline()
                                .addLast(new HttpServerCodec())
                                .addLast(new HttpServerKeepAliveHandler())
                                .addLast(new HttpObjectAggregator(MAX_BODY_BYTES))
                                .addLast(new ServerHandler(handler));
                    }
                })
                .bind(address)
                .awaitUninterruptibly();
        if (!bindFuture.isSuccess()) {
            throw new IOException("cannot listen on " + address, bindFuture.cause());
        }
        listener = bindFuture.channel();
    }

    @Override
    public void close() {
        listener.close();
    }

    private static final class ServerHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final Handler handler;
        private CompletableFuture<Void> lastWritten = CompletableFuture.completedFuture(null);

        ServerHandler(Handler handler) {
            this.handler = handler;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            CompletableFuture<Response> result = request.decoderResult().isFailure()
                    ? CompletableFuture.completedFuture(Response.emptyJson(HttpResponseStatus.BAD_REQUEST.code()))
                    : handle(request);
            // Responses are written in the order of the requests.
            lastWritten = lastWritten.thenCombine(result, (previous, response) -> write(context, response));
        }

        private static Void write(ChannelHandlerContext context, Response result) {
            byte[] body = result.body().getBytes(StandardCharsets.UTF_8);
            FullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(result.status()), Unpooled.wrappedBuffer(body));
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, result.contentType());
            context.writeAndFlush(response);
            return null;
        }

        private CompletableFuture<Response> handle(FullHttpRequest request) {
            String path = request.uri();
            CompletableFuture<Response> result;
            try {
                result = handler.handle(request.method().name(), path, ByteBufUtil.getBytes(request.content()));
            } catch (RuntimeException e) {
                result = CompletableFuture.failedFuture(e);
            }
            return result.exceptionally(error -> {
                LOG.error("endpoint: request for {} failed", path, error);
                return Response.emptyJson(HttpResponseStatus.INTERNAL_SERVER_ERROR.code());
            });
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            LOG.debug("endpoint: connection failed", cause);
            context.close();
        }
    }
}
