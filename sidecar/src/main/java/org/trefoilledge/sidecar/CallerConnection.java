package org.trefoilledge.sidecar;

import com.google.protobuf.ByteString;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import java.io.ByteArrayOutputStream;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.trefoilledge.core.ErrorKind;
import org.trefoilledge.core.routing.CallerLimits;
import org.trefoilledge.wire.generated.CallAnswer;
import org.trefoilledge.wire.generated.Header;

/** One connection of a caller: collects whole requests, and writes their answers in the order of the requests. */
@SuppressWarnings("FutureReturnValueIgnored") // channel events and timers report how such an operation ended
final class CallerConnection extends SimpleChannelInboundHandler<HttpObject> {
    private static final Logger LOG = LoggerFactory.getLogger(CallerConnection.class);
    /** Requests that one connection may have open; more are read when answers have been written. */
    private static final int MAX_OPEN = 64;

    /** Time for the caller to read the last answer and close. */
    private static final long LINGER_MILLIS = 500;

    private static final int HEADERS_TOO_LARGE = 431;
    private static final double MILLIS_PER_SECOND = 1_000.0;

    private final CallerServer server;
    private final RequestDecoder decoder;
    private final Deque<Exchange> open = new ArrayDeque<>();
    private ChannelHandlerContext context;
    private HttpRequest head;
    private ByteArrayOutputStream body;
    /** Bytes of the body that is being read. */
    private long heldBytes;

    private long readingSince;
    private long lastActivity;
    private boolean lastRequestRead;

    /** A request and, once it is there, its answer. */
    private static final class Exchange {
        private final boolean keepAlive;
        private final boolean bodyless;
        private final long heldBytes;
        private Runnable cancel = () -> {};
        private CallAnswer answer;

        Exchange(boolean keepAlive, boolean bodyless, long heldBytes) {
            this.keepAlive = keepAlive;
            this.bodyless = bodyless;
            this.heldBytes = heldBytes;
        }
    }

    /** Refuses requests with two lengths, and tells whether an incomplete header waits for its rest. */
    static final class RequestDecoder extends HttpRequestDecoder {
        private boolean headerBegun;

        RequestDecoder(HttpDecoderConfig config) {
            super(config);
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object bytes) throws Exception {
            headerBegun = true;
            super.channelRead(context, bytes);
        }

        @Override
        protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
            throw new IllegalArgumentException("a request must not have both a length and chunks");
        }

        void messageRead() {
            headerBegun = false;
        }

        boolean headerIncomplete() {
            return headerBegun || actualReadableBytes() > 0;
        }
    }

    CallerConnection(CallerServer server, RequestDecoder decoder) {
        this.server = server;
        this.decoder = decoder;
    }

    int openRequests() {
        return open.size();
    }

    /** Closes connections that are idle for too long, or on which a request takes too long to arrive. */
    void checkTime(long now, CallerLimits limits) {
        if (head != null && now - lastActivity > limits.idleTimeoutMillis()) {
            refuseAndClose(HttpResponseStatus.REQUEST_TIMEOUT.code(), "the body takes too long");
        } else if (readingSince > 0 && now - readingSince > limits.headerTimeoutMillis()) {
            refuseAndClose(HttpResponseStatus.REQUEST_TIMEOUT.code(), "the header takes too long");
        } else if (open.isEmpty() && head == null && now - lastActivity > limits.idleTimeoutMillis()) {
            closeNow();
        }
    }

    /** Reads no further requests; closes the connection as soon as the open ones are answered. */
    void closeWhenAnswered() {
        lastRequestRead = true;
        context.channel().config().setAutoRead(false);
        if (open.isEmpty()) {
            closeNow();
        }
    }

    void closeNow() {
        context.close();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
        lastActivity = server.clock().millis();
    }

    @Override
    public void channelActive(ChannelHandlerContext active) {
        server.opened(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext inactive) {
        server.closed(this);
        dropBody();
        open.forEach(exchange -> {
            if (exchange.answer == null) {
                server.room().giveBack(exchange.heldBytes);
                exchange.cancel.run();
            }
        });
        open.clear();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext unused, HttpObject part) {
        if (lastRequestRead) {
            return;
        }
        decoder.messageRead();
        lastActivity = server.clock().millis();
        if (part.decoderResult().isFailure()) {
            undecodable(part.decoderResult());
            return;
        }
        if (part instanceof HttpRequest request) {
            started(request);
        }
        if (part instanceof HttpContent content && head != null) {
            received(content);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext unused) {
        context.flush();
        boolean headerIncomplete = head == null && decoder.headerIncomplete();
        readingSince = !headerIncomplete
                ? 0
                : readingSince > 0 ? readingSince : server.clock().millis();
    }

    private void started(HttpRequest request) {
        head = request;
        body = null;
        if (request.headers().getAll(HttpHeaderNames.HOST).size() != 1) {
            refuseAndClose(ErrorKind.BAD_REQUEST.status(), "the host of the request is missing or ambiguous");
            return;
        }
        if (HttpUtil.getContentLength(request, 0L) > server.limits().maxBodyBytes()) {
            refuseAndClose(ErrorKind.TOO_LARGE.status(), "the body is larger than the bound");
            return;
        }
        if (HttpUtil.is100ContinueExpected(request)) {
            context.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
    }

    private void received(HttpContent content) {
        ByteBuf bytes = content.content();
        if (bytes.isReadable()) {
            if (body == null) {
                body = new ByteArrayOutputStream(bytes.readableBytes());
            }
            if (body.size() + (long) bytes.readableBytes() > server.limits().maxBodyBytes()) {
                refuseAndClose(ErrorKind.TOO_LARGE.status(), "the body is larger than the bound");
                return;
            }
            if (!server.room().take(bytes.readableBytes())) {
                refuseAndClose(ErrorKind.OVERLOADED.status(), "there is no room for its body");
                return;
            }
            heldBytes += bytes.readableBytes();
            byte[] copy = new byte[bytes.readableBytes()];
            bytes.readBytes(copy);
            body.writeBytes(copy);
        }
        if (content instanceof LastHttpContent) {
            complete();
        }
    }

    private void complete() {
        HttpRequest request = head;
        byte[] bytes = body == null ? new byte[0] : body.toByteArray();
        head = null;
        body = null;
        long held = heldBytes;
        heldBytes = 0;
        boolean keepAlive = HttpUtil.isKeepAlive(request);
        Exchange exchange = new Exchange(keepAlive, request.method().equals(HttpMethod.HEAD), held);
        open.addLast(exchange);
        lastRequestRead = !keepAlive;
        if (open.size() >= MAX_OPEN) {
            context.channel().config().setAutoRead(false);
        }
        CallerRequest whole =
                new CallerRequest(request.method().name(), request.uri(), request.headers(), bytes, lastActivity);
        exchange.cancel = server.handler().handle(whole, answer -> answered(exchange, answer));
    }

    private void answered(Exchange exchange, CallAnswer answer) {
        if (exchange.answer == null) {
            server.room().giveBack(exchange.heldBytes);
        }
        exchange.answer = answer;
        boolean close = false;
        while (!close && !open.isEmpty() && open.peekFirst().answer != null) {
            close = write(open.pollFirst());
        }
        context.flush();
        if (!close && !lastRequestRead && !context.channel().config().isAutoRead() && open.size() < MAX_OPEN) {
            context.channel().config().setAutoRead(true);
        }
    }

    /** Writes an answer; returns whether the connection closes after it. */
    private boolean write(Exchange exchange) {
        lastActivity = server.clock().millis();
        FullHttpResponse response = response(exchange.answer, exchange.bodyless);
        // Requests behind a closing answer would be sent again, so it is the last one that closes.
        boolean close = open.isEmpty() && (!exchange.keepAlive || server.isStopping() || lastRequestRead);
        if (!close) {
            context.write(response, context.voidPromise());
            return false;
        }
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        lastRequestRead = true;
        context.writeAndFlush(response).addListener(written -> closeGently());
        return true;
    }

    /** Closes this side first: a close with unread bytes would reset the connection and with it the last answer. */
    private void closeGently() {
        ((SocketChannel) context.channel()).shutdownOutput();
        context.channel().config().setAutoRead(true);
        context.executor().schedule(this::closeNow, LINGER_MILLIS, TimeUnit.MILLISECONDS);
    }

    private static FullHttpResponse response(CallAnswer answer, boolean bodyless) {
        ByteString bytes = Refusals.isRefusal(answer) ? ByteString.EMPTY : answer.getBody();
        HttpResponseStatus status = HttpResponseStatus.valueOf(answer.getStatus());
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                status,
                bodyless ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(bytes.asReadOnlyByteBuffer()),
                ForwardedHeaders.CHECKED_BEFORE,
                ForwardedHeaders.CHECKED_BEFORE);
        for (Header header : answer.getHeadersList()) {
            response.headers().add(header.getName(), header.getValue());
        }
        boolean noLength = answer.getStatus() == HttpResponseStatus.NO_CONTENT.code()
                || answer.getStatus() == HttpResponseStatus.NOT_MODIFIED.code();
        if (!noLength && !(bodyless && bytes.isEmpty())) {
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, bytes.size());
        }
        if (answer.getRetryAfterMillis() > 0) {
            double seconds = answer.getRetryAfterMillis() / MILLIS_PER_SECOND;
            response.headers().set(HttpHeaderNames.RETRY_AFTER, Double.toString(seconds));
        }
        return response;
    }

    private void undecodable(DecoderResult result) {
        boolean tooLong = result.cause() instanceof TooLongHttpHeaderException
                || result.cause() instanceof TooLongHttpLineException;
        refuseAndClose(
                tooLong ? HEADERS_TOO_LARGE : ErrorKind.BAD_REQUEST.status(),
                String.valueOf(result.cause().getMessage()));
    }

    /** Answers a request that cannot be read, after the answers to the requests before it. */
    private void refuseAndClose(int status, String reason) {
        LOG.info("caller: a request of {} cannot be read: {}", context.channel().remoteAddress(), reason);
        head = null;
        dropBody();
        readingSince = 0;
        lastRequestRead = true;
        Exchange exchange = new Exchange(false, false, 0);
        open.addLast(exchange);
        answered(
                exchange,
                CallAnswer.newBuilder()
                        .setStatus(status)
                        .setRefusal(ErrorKind.BAD_REQUEST.name())
                        .build());
    }

    private void dropBody() {
        server.room().giveBack(heldBytes);
        heldBytes = 0;
        body = null;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext unused, Throwable cause) {
        LOG.debug("caller: connection with {} failed", context.channel().remoteAddress(), cause);
        context.close();
    }
}
