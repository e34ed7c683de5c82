package org.trefoilledge.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.SimpleChannelInboundHandler;
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
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.trefoilledge.core.ErrorKind;
import org.trefoilledge.core.routing.CallerLimits;
import org.trefoilledge.wire.generated.CallAnswer;

/** A caller's HTTP/1.1 connection. Aggregates requests and writes the responses in request order. */
@SuppressWarnings("FutureReturnValueIgnored") // channel events and timers report failures
final class CallerConnection extends SimpleChannelInboundHandler<HttpObject> {
    private static final Logger LOG = LoggerFactory.getLogger(CallerConnection.class);
    /** Limit of unanswered requests per connection. Reading pauses while it is reached. */
    private static final int MAX_OPEN_REQUESTS = 64;

    private static final int HEADERS_TOO_LARGE_STATUS = 431;

    private final CallerServer server;
    private final RequestDecoder decoder;
    private final Deque<Exchange> openExchanges = new ArrayDeque<>();
    private ChannelHandlerContext context;
    private GracefulClose gracefulClose;
    private HttpRequest requestHead;
    private ByteArrayOutputStream requestBody;
    /** Body memory that is reserved for the incomplete request. */
    private long reservedBodyBytes;

    /** Time at which an incomplete header was first seen, or 0 if there is none. */
    private long headerStartMillis;

    /** Time at which the caller last sent something, was answered, or read a part of an answer. */
    private long lastActivityMillis;

    private long lastUnwrittenBytes;
    /** Whether input is ignored and the connection closes after the open exchanges. */
    private boolean closing;

    /** A request with its answer, which is null until it arrives. */
    private static final class Exchange {
        private final boolean keepAlive;
        private final boolean headRequest;
        private long reservedBytes;
        private Runnable cancel = () -> {};
        private CallAnswer answer;

        Exchange(boolean keepAlive, boolean headRequest, long reservedBytes) {
            this.keepAlive = keepAlive;
            this.headRequest = headRequest;
            this.reservedBytes = reservedBytes;
        }

        /** Releases the memory of the body, once: an answer can still arrive after the caller has left. */
        void releaseBody(BodyMemoryLimit memory) {
            memory.release(reservedBytes);
            reservedBytes = 0;
        }
    }

    /** Rejects requests with both Content-Length and chunked encoding, and detects incomplete headers. */
    static final class RequestDecoder extends HttpRequestDecoder {
        private boolean headerStarted;

        RequestDecoder(HttpDecoderConfig config) {
            super(config);
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object bytes) throws Exception {
            headerStarted = true;
            super.channelRead(context, bytes);
        }

        @Override
        protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
            throw new IllegalArgumentException("request has both Content-Length and Transfer-Encoding: chunked");
        }

        void onMessageDecoded() {
            headerStarted = false;
        }

        boolean hasIncompleteHeader() {
            return headerStarted || actualReadableBytes() > 0;
        }
    }

    CallerConnection(CallerServer server, RequestDecoder decoder) {
        this.server = server;
        this.decoder = decoder;
    }

    /** Returns whether requests are unanswered, or answers have not been handed to the operating system yet. */
    boolean isBusy() {
        return !openExchanges.isEmpty() || unwrittenBytes() > 0;
    }

    private long unwrittenBytes() {
        ChannelOutboundBuffer unwritten = context.channel().unsafe().outboundBuffer();
        return unwritten == null ? 0 : unwritten.totalPendingWriteBytes();
    }

    /** Returns whether the caller's host has received all responses and the end of the connection. */
    boolean isDelivered() {
        return gracefulClose.delivered();
    }

    /** Closes the connection if it is idle for too long, or if its request takes too long to arrive. */
    void checkTimeouts(long now, CallerLimits limits) {
        if (gracefulClose.started()) {
            gracefulClose.checkTimeout(now);
            return;
        }
        long unwritten = unwrittenBytes();
        if (unwritten != lastUnwrittenBytes) {
            lastUnwrittenBytes = unwritten;
            lastActivityMillis = now;
        }
        if (unwritten > 0) {
            // The caller still reads earlier answers, or has stopped reading.
            if (now - lastActivityMillis > limits.idleTimeoutMillis()) {
                closeNow();
            }
        } else if (requestHead != null && now - lastActivityMillis > limits.idleTimeoutMillis()) {
            rejectAndClose(HttpResponseStatus.REQUEST_TIMEOUT.code(), "timed out while reading the body");
        } else if (headerStartMillis > 0 && now - headerStartMillis > limits.headerTimeoutMillis()) {
            rejectAndClose(HttpResponseStatus.REQUEST_TIMEOUT.code(), "timed out while reading the header");
        } else if (openExchanges.isEmpty()
                && requestHead == null
                && now - lastActivityMillis > limits.idleTimeoutMillis()) {
            closeAfterResponses();
        }
    }

    /** Ignores all further input, and closes the connection once all open requests are answered. */
    void closeAfterResponses() {
        if (requestHead != null) {
            rejectAndClose(ErrorKind.NOT_READY.status(), "the connection closes before the body has arrived");
        }
        closing = true;
        headerStartMillis = 0;
        context.channel().config().setAutoRead(!openExchanges.isEmpty());
        if (openExchanges.isEmpty()) {
            closeOnceWritten(context.writeAndFlush(Unpooled.EMPTY_BUFFER), false);
        }
    }

    /** Answers the open requests as of unknown outcome, because the process ends before their answers arrive. */
    void abandonOpenRequests() {
        for (Exchange exchange : List.copyOf(openExchanges)) {
            if (exchange.answer == null) {
                completeExchange(
                        exchange,
                        Refusals.refusal(ErrorKind.OUTCOME_UNKNOWN, "the node stopped before the answer arrived"));
            }
        }
    }

    void closeNow() {
        context.close();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
        gracefulClose = new GracefulClose(added.channel());
        lastActivityMillis = server.clock().millis();
    }

    @Override
    public void channelActive(ChannelHandlerContext active) {
        server.connectionOpened(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext inactive) {
        server.connectionClosed(this);
        discardBody();
        openExchanges.forEach(exchange -> {
            if (exchange.answer == null) {
                exchange.releaseBody(server.bodyMemory());
                exchange.cancel.run();
            }
        });
        openExchanges.clear();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext unused, HttpObject part) {
        if (closing) {
            return;
        }
        decoder.onMessageDecoded();
        lastActivityMillis = server.clock().millis();
        if (part.decoderResult().isFailure()) {
            rejectUndecodable(part.decoderResult());
            return;
        }
        if (part instanceof HttpRequest request) {
            handleRequestHead(request);
        }
        if (part instanceof HttpContent content && requestHead != null) {
            handleContent(content);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext unused) {
        context.flush();
        boolean headerIncomplete = !closing && requestHead == null && decoder.hasIncompleteHeader();
        headerStartMillis = !headerIncomplete
                ? 0
                : headerStartMillis > 0 ? headerStartMillis : server.clock().millis();
    }

    private void handleRequestHead(HttpRequest request) {
        requestHead = request;
        requestBody = null;
        if (request.headers().getAll(HttpHeaderNames.HOST).size() != 1) {
            rejectAndClose(ErrorKind.BAD_REQUEST.status(), "Host header is missing or repeated");
            return;
        }
        if (HttpUtil.getContentLength(request, 0L) > server.limits().maxBodyBytes()) {
            rejectAndClose(ErrorKind.TOO_LARGE.status(), "body exceeds the maximum size");
            return;
        }
        if (HttpUtil.is100ContinueExpected(request)) {
            context.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
    }

    private void handleContent(HttpContent content) {
        ByteBuf bytes = content.content();
        if (bytes.isReadable()) {
            if (requestBody == null) {
                requestBody = new ByteArrayOutputStream(bytes.readableBytes());
            }
            if (requestBody.size() + (long) bytes.readableBytes()
                    > server.limits().maxBodyBytes()) {
                rejectAndClose(ErrorKind.TOO_LARGE.status(), "body exceeds the maximum size");
                return;
            }
            if (!server.bodyMemory().tryReserve(bytes.readableBytes())) {
                rejectAndClose(ErrorKind.OVERLOADED.status(), "memory for buffered bodies is exhausted");
                return;
            }
            reservedBodyBytes += bytes.readableBytes();
            byte[] copy = new byte[bytes.readableBytes()];
            bytes.readBytes(copy);
            requestBody.writeBytes(copy);
        }
        if (content instanceof LastHttpContent) {
            handleRequest();
        }
    }

    private void handleRequest() {
        HttpRequest request = requestHead;
        byte[] bytes = requestBody == null ? new byte[0] : requestBody.toByteArray();
        requestHead = null;
        requestBody = null;
        long reservedBytes = reservedBodyBytes;
        reservedBodyBytes = 0;
        boolean keepAlive = HttpUtil.isKeepAlive(request);
        Exchange exchange = new Exchange(keepAlive, request.method().equals(HttpMethod.HEAD), reservedBytes);
        openExchanges.addLast(exchange);
        closing = !keepAlive;
        if (openExchanges.size() >= MAX_OPEN_REQUESTS) {
            context.channel().config().setAutoRead(false);
        }
        CallerRequest callerRequest =
                new CallerRequest(request.method().name(), request.uri(), request.headers(), bytes, lastActivityMillis);
        server.deferred().add(() -> handle(callerRequest, exchange));
    }

    private void handle(CallerRequest request, Exchange exchange) {
        if (exchange.answer != null) {
            return;
        }
        if (!context.channel().isActive()) {
            server.handler().onCallerLeft(request);
            return;
        }
        try {
            exchange.cancel = server.handler().handle(request, answer -> completeExchange(exchange, answer));
        } catch (RuntimeException e) {
            exceptionCaught(context, e);
        }
    }

    private void completeExchange(Exchange exchange, CallAnswer answer) {
        exchange.releaseBody(server.bodyMemory());
        exchange.answer = answer;
        boolean close = false;
        while (!close && !openExchanges.isEmpty() && openExchanges.peekFirst().answer != null) {
            close = writeResponse(openExchanges.pollFirst());
        }
        context.flush();
        if (!close
                && !closing
                && !context.channel().config().isAutoRead()
                && openExchanges.size() < MAX_OPEN_REQUESTS) {
            context.channel().config().setAutoRead(true);
        }
    }

    /** Writes the response of an exchange. Returns whether the connection closes after it. */
    private boolean writeResponse(Exchange exchange) {
        lastActivityMillis = server.clock().millis();
        FullHttpResponse response = CallerResponses.encode(exchange.answer, exchange.headRequest);
        // Callers resend the requests that follow a response with Connection: close, so only the last response closes.
        boolean close = openExchanges.isEmpty() && (!exchange.keepAlive || server.requestsClose() || closing);
        if (!close) {
            context.write(response, context.voidPromise());
            return false;
        }
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        closing = true;
        closeOnceWritten(context.writeAndFlush(response), true);
        return true;
    }

    private void closeOnceWritten(ChannelFuture lastWrite, boolean readOn) {
        lastWrite.addListener(written -> gracefulClose.start(server.clock().millis(), readOn));
    }

    private void rejectUndecodable(DecoderResult result) {
        boolean tooLong = result.cause() instanceof TooLongHttpHeaderException
                || result.cause() instanceof TooLongHttpLineException;
        rejectAndClose(
                tooLong ? HEADERS_TOO_LARGE_STATUS : ErrorKind.BAD_REQUEST.status(),
                String.valueOf(result.cause().getMessage()));
    }

    /** Rejects a request that cannot be read. Open requests are answered first, then the connection closes. */
    private void rejectAndClose(int status, String reason) {
        LOG.info("caller: rejected a request from {}: {}", context.channel().remoteAddress(), reason);
        requestHead = null;
        discardBody();
        headerStartMillis = 0;
        closing = true;
        Exchange exchange = new Exchange(false, false, 0);
        openExchanges.addLast(exchange);
        completeExchange(
                exchange,
                CallAnswer.newBuilder()
                        .setStatus(status)
                        .setRefusal(ErrorKind.BAD_REQUEST.name())
                        .build());
    }

    private void discardBody() {
        server.bodyMemory().release(reservedBodyBytes);
        reservedBodyBytes = 0;
        requestBody = null;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext unused, Throwable cause) {
        LOG.debug("caller: connection with {} failed", context.channel().remoteAddress(), cause);
        context.close();
    }
}
