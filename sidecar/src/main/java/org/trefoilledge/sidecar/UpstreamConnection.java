package org.trefoilledge.sidecar;

import com.google.protobuf.ByteString;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.Iterator;
import java.util.Map;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.trefoilledge.core.ErrorKind;
import org.trefoilledge.wire.generated.Call;
import org.trefoilledge.wire.generated.CallAnswer;
import org.trefoilledge.wire.generated.Header;

/**
 * One connection to the upstream, for one request at a time. An answer counts only if it names the request; bytes that
 * follow it close the connection.
 */
@SuppressWarnings("FutureReturnValueIgnored") // channel events and timers report how such an operation ended
final class UpstreamConnection extends SimpleChannelInboundHandler<HttpObject> {
    private static final Logger LOG = LoggerFactory.getLogger(UpstreamConnection.class);
    private static final long MILLIS_PER_SECOND = 1_000;
    /** Bytes before the head of an answer is complete; heads themselves are bounded by the decoder. */
    private static final long MAX_BYTES_BEFORE_HEAD = 64 * 1024;
    /** Answers before the one to the request: interim ones and late ones to other requests. */
    private static final int MAX_SKIPPED_RESPONSES = 16;

    private final UpstreamPool pool;
    private final ResponseDecoder decoder = new ResponseDecoder();
    private ChannelHandlerContext context;
    private UpstreamPool.UpstreamRequest request;
    private Consumer<CallAnswer> onAnswer;
    private HttpResponse responseHead;
    private ByteString responseBody = ByteString.EMPTY;
    private long reservedBodyBytes;
    private long bytesBeforeHead;
    private int skippedResponses;
    private boolean responseComplete;
    private boolean reused;
    private boolean broken;
    private long idleSinceMillis;
    private long keepAliveTimeoutMillis = Long.MAX_VALUE;

    /** Knows that the answer to a HEAD request has no body, and tells about bytes behind an answer. */
    private final class ResponseDecoder extends HttpResponseDecoder {
        @Override
        protected boolean isContentAlwaysEmpty(HttpMessage message) {
            boolean toHead = request != null && request.call().getMethod().equals(HttpMethod.HEAD.name());
            return toHead || super.isContentAlwaysEmpty(message);
        }

        @Override
        public void channelRead(ChannelHandlerContext decoding, Object bytes) throws Exception {
            if (responseHead == null && bytes instanceof ByteBuf buffer) {
                bytesBeforeHead += buffer.readableBytes();
            }
            super.channelRead(decoding, bytes);
        }

        boolean hasBufferedBytes() {
            return actualReadableBytes() > 0;
        }
    }

    UpstreamConnection(UpstreamPool pool) {
        this.pool = pool;
    }

    HttpResponseDecoder decoder() {
        return decoder;
    }

    long idleMillis(long now) {
        return now - idleSinceMillis;
    }

    /** Returns how long the connection may be idle: the given time, or half of what the upstream has announced. */
    long maxIdleMillis(long otherwise) {
        return Math.min(otherwise, keepAliveTimeoutMillis / 2);
    }

    /** Sends a request over this connection, which must be idle. */
    void send(UpstreamPool.UpstreamRequest next, Consumer<CallAnswer> whenAnswered) {
        request = next;
        onAnswer = whenAnswered;
        responseHead = null;
        responseComplete = false;
        bytesBeforeHead = 0;
        skippedResponses = 0;
        context.writeAndFlush(toHttpRequest(next)).addListener(written -> {
            if (!written.isSuccess()) {
                fail("cannot write: " + written.cause().getMessage());
            }
        });
    }

    /** Breaks off the request by closing the connection. */
    void abort() {
        fail("broken off");
    }

    void close() {
        context.close();
    }

    private FullHttpRequest toHttpRequest(UpstreamPool.UpstreamRequest next) {
        Call call = next.call();
        ByteString bytes = call.getBody();
        FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(call.getMethod()),
                call.getTarget(),
                Unpooled.wrappedBuffer(bytes.asReadOnlyByteBuffer()),
                ForwardedHeaders.WITHOUT_VALIDATION,
                ForwardedHeaders.WITHOUT_VALIDATION);
        for (Header header : call.getHeadersList()) {
            request.headers().add(header.getName(), header.getValue());
        }
        long left = Math.max(1, next.deadlineMillis() - pool.clock().millis());
        request.headers().set(pool.headerNames().deadlineMillis(), Long.toString(left));
        request.headers().set(pool.headerNames().expectedUpstream(), next.upstreamId());
        boolean mayHaveBody = !call.getMethod().equals(HttpMethod.GET.name())
                && !call.getMethod().equals(HttpMethod.HEAD.name());
        if (!bytes.isEmpty() || mayHaveBody) {
            request.headers().set(HttpHeaderNames.CONTENT_LENGTH, bytes.size());
        }
        return request;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext unused, HttpObject part) {
        if (broken) {
            return;
        }
        if (request == null || responseComplete) {
            broken = true;
            LOG.info("upstream: closing a connection on which bytes follow an answer");
            return;
        }
        if (part.decoderResult().isFailure()) {
            fail("the answer is malformed");
            return;
        }
        if (part instanceof HttpResponse response) {
            responseHead = response;
            discardBody();
        }
        if (part instanceof HttpContent content && responseHead != null) {
            handleContent(content);
        }
    }

    private void handleContent(HttpContent content) {
        int bytes = content.content().readableBytes();
        if (bytes > 0) {
            if (!pool.bodyMemory().tryReserve(bytes)) {
                fail("the answer is larger than the room for bodies");
                return;
            }
            reservedBodyBytes += bytes;
            responseBody =
                    responseBody.concat(ByteString.copyFrom(content.content().nioBuffer()));
        }
        if (!(content instanceof LastHttpContent)) {
            return;
        }
        if (responseHead.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            skipResponse();
        } else if (reused && responseHead.headers().get(pool.headerNames().requestId()) == null && isNotExecuted()) {
            // It may be a late copy for an earlier request, whose answer came before.
            fail("an answer without the request's id says that something has not run");
        } else if (isForOtherRequest()) {
            LOG.info("upstream: skipped a late answer to another request");
            skipResponse();
        } else {
            responseComplete = true;
        }
    }

    private void skipResponse() {
        responseHead = null;
        discardBody();
        bytesBeforeHead = 0;
        if (++skippedResponses > MAX_SKIPPED_RESPONSES) {
            fail("too many answers before the one to the request");
        }
    }

    private void discardBody() {
        pool.bodyMemory().release(reservedBodyBytes);
        reservedBodyBytes = 0;
        responseBody = ByteString.EMPTY;
    }

    /** Returns whether the answer names another request, or names none although the upstream has run something. */
    private boolean isForOtherRequest() {
        String id = responseHead.headers().get(pool.headerNames().requestId());
        if (id == null) {
            return !isNotExecuted();
        }
        return !id.equals(requestId());
    }

    private String requestId() {
        for (Header header : request.call().getHeadersList()) {
            if (header.getName().equalsIgnoreCase(pool.headerNames().requestId())) {
                return header.getValue();
            }
        }
        return "";
    }

    private boolean isNotExecuted() {
        return responseHead.headers().contains(pool.headerNames().notExecuted())
                || responseHead.status().equals(HttpResponseStatus.MISDIRECTED_REQUEST);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext unused) {
        if (!broken && request != null && responseHead == null && bytesBeforeHead > MAX_BYTES_BEFORE_HEAD) {
            fail("no answer within " + MAX_BYTES_BEFORE_HEAD + " bytes");
        }
        if (broken) {
            context.close();
        }
        if (responseComplete) {
            completeRequest();
        }
    }

    private void completeRequest() {
        HttpResponse response = responseHead;
        CallAnswer answer = toAnswer();
        boolean framed = HttpUtil.isTransferEncodingChunked(response) || HttpUtil.isContentLengthSet(response);
        boolean reusable = !broken && framed && HttpUtil.isKeepAlive(response) && !decoder.hasBufferedBytes();
        keepAliveTimeoutMillis = parseKeepAliveTimeout(response);
        Consumer<CallAnswer> listener = onAnswer;
        request = null;
        onAnswer = null;
        responseHead = null;
        discardBody();
        responseComplete = false;
        reused = true;
        idleSinceMillis = pool.clock().millis();
        if (reusable && context.channel().isActive()) {
            pool.release(this);
        } else {
            context.close();
        }
        listener.accept(answer);
    }

    private CallAnswer toAnswer() {
        int status = responseHead.status().code();
        if (isNotExecuted()) {
            return Refusals.refusal(ErrorKind.OVERLOADED, "the upstream has not run it: " + status).toBuilder()
                    .setReachedUpstream(true)
                    .build();
        }
        boolean success = responseHead.status().codeClass() == HttpStatusClass.SUCCESS;
        if (success && !responseHead.headers().contains(pool.headerNames().signature())) {
            return Refusals.refusal(ErrorKind.UPSTREAM_FAILED, "the answer has no signature");
        }
        if (responseHead.headers().contains(HttpHeaderNames.CONTENT_ENCODING)) {
            return Refusals.refusal(ErrorKind.UPSTREAM_FAILED, "the answer has an encoding that nobody asked for");
        }
        CallAnswer.Builder answer = CallAnswer.newBuilder().setStatus(status).setBody(responseBody);
        Iterator<Map.Entry<CharSequence, CharSequence>> headers =
                responseHead.headers().iteratorCharSequence();
        while (headers.hasNext()) {
            Map.Entry<CharSequence, CharSequence> header = headers.next();
            if (ForwardedHeaders.isForwarded(header.getKey().toString(), responseHead.headers())) {
                answer.addHeaders(Header.newBuilder()
                        .setName(header.getKey().toString())
                        .setValue(header.getValue().toString()));
            }
        }
        return answer.build();
    }

    private static long parseKeepAliveTimeout(HttpResponse response) {
        String keepAlive = response.headers().get("Keep-Alive");
        int start = keepAlive == null ? -1 : keepAlive.indexOf("timeout=");
        if (start < 0) {
            return Long.MAX_VALUE;
        }
        String digits = keepAlive.substring(start + "timeout=".length()).split("[^0-9]", 2)[0];
        return digits.isEmpty() || digits.length() > 6 ? Long.MAX_VALUE : Long.parseLong(digits) * MILLIS_PER_SECOND;
    }

    private void fail(String reason) {
        broken = true;
        responseComplete = false;
        discardBody();
        context.close();
        if (onAnswer == null) {
            return;
        }
        Consumer<CallAnswer> listener = onAnswer;
        onAnswer = null;
        request = null;
        listener.accept(Refusals.refusal(ErrorKind.UPSTREAM_FAILED, reason));
    }

    @Override
    public void channelInactive(ChannelHandlerContext unused) {
        pool.remove(this);
        if (responseComplete && !broken) {
            completeRequest();
        } else {
            fail("the upstream closed the connection");
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext unused, Throwable cause) {
        LOG.debug("upstream: connection failed", cause);
        fail(String.valueOf(cause.getMessage()));
    }
}
