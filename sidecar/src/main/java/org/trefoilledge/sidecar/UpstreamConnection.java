package org.trefoilledge.sidecar;

import com.google.protobuf.ByteString;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
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
 * An HTTP/1.1 connection to the upstream that carries one request at a time. A response must echo the request id,
 * unless it is the first on the connection and states that the request was not executed. Unexpected bytes after a
 * response close the connection.
 */
@SuppressWarnings("FutureReturnValueIgnored") // channel events and timers report failures
final class UpstreamConnection extends SimpleChannelInboundHandler<HttpObject> {
    private static final Logger LOG = LoggerFactory.getLogger(UpstreamConnection.class);
    /** Limit of the bytes read before the head of a response is complete. The decoder limits the head itself. */
    private static final long MAX_BYTES_BEFORE_HEAD = 64 * 1024;
    /** Limit of skipped responses per request: interim responses, and late responses to other requests. */
    private static final int MAX_SKIPPED_RESPONSES = 16;

    private final UpstreamPool pool;
    private final ResponseDecoder decoder;
    private ChannelHandlerContext context;
    private UpstreamPool.UpstreamRequest request;
    private Consumer<CallAnswer> onAnswer;
    private HttpResponse responseHead;
    private ByteString responseBody = ByteString.EMPTY;
    private long reservedBodyBytes;
    private int skippedResponses;
    private boolean responseComplete;
    private boolean reused;
    private boolean broken;
    /** Whether this end closes the connection, or the upstream has said that it will. */
    private boolean closing;

    private long idleSinceMillis;
    /** Idle timeout that the upstream has announced in a Keep-Alive header. */
    private long keepAliveTimeoutMillis = Long.MAX_VALUE;

    UpstreamConnection(UpstreamPool pool) {
        this.pool = pool;
        decoder = new ResponseDecoder(pool.headerNames().requestId());
    }

    ResponseDecoder decoder() {
        return decoder;
    }

    long idleMillis(long now) {
        return now - idleSinceMillis;
    }

    /** Returns the maximum idle time: the default, or half of the timeout that the upstream announced if less. */
    long maxIdleMillis(long defaultMillis) {
        return Math.min(defaultMillis, keepAliveTimeoutMillis / 2);
    }

    /** Sends a request. The connection must be idle. */
    void send(UpstreamPool.UpstreamRequest newRequest, Consumer<CallAnswer> answerConsumer) {
        request = newRequest;
        onAnswer = answerConsumer;
        responseHead = null;
        responseComplete = false;
        skippedResponses = 0;
        decoder.expectResponse(newRequest.call().getMethod());
        context.writeAndFlush(toHttpRequest(newRequest)).addListener(written -> {
            if (!written.isSuccess()) {
                recordLostUnlessClosing();
                fail("cannot write: " + written.cause().getMessage());
            }
        });
    }

    /** Returns this connection, which has just opened, to the pool without a request. */
    void releaseUnused() {
        idleSinceMillis = pool.clock().millis();
        if (isOpen()) {
            pool.release(this);
        }
    }

    boolean isOpen() {
        return context.channel().isActive();
    }

    /** Aborts the request by closing the connection. */
    void abort() {
        fail("broken off");
    }

    void close() {
        closing = true;
        pool.discard(this);
        context.close();
    }

    private FullHttpRequest toHttpRequest(UpstreamPool.UpstreamRequest newRequest) {
        Call call = newRequest.call();
        ByteString bytes = call.getBody();
        FullHttpRequest httpRequest = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(call.getMethod()),
                call.getTarget(),
                Unpooled.wrappedBuffer(bytes.asReadOnlyByteBuffer()),
                ForwardedHeaders.WITHOUT_VALIDATION,
                ForwardedHeaders.WITHOUT_VALIDATION);
        for (Header header : call.getHeadersList()) {
            httpRequest.headers().add(header.getName(), header.getValue());
        }
        long remainingMillis =
                Math.max(1, newRequest.deadlineMillis() - pool.clock().millis());
        httpRequest.headers().set(pool.headerNames().deadlineMillis(), Long.toString(remainingMillis));
        httpRequest.headers().set(pool.headerNames().expectedUpstream(), newRequest.upstreamId());
        boolean mayHaveBody = !call.getMethod().equals(HttpMethod.GET.name())
                && !call.getMethod().equals(HttpMethod.HEAD.name());
        if (!bytes.isEmpty() || mayHaveBody) {
            httpRequest.headers().set(HttpHeaderNames.CONTENT_LENGTH, bytes.size());
        }
        return httpRequest;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
    }

    @Override
    public void channelActive(ChannelHandlerContext active) {
        pool.recordEstablished();
        active.fireChannelActive();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext unused, HttpObject part) {
        if (broken) {
            return;
        }
        if (part.decoderResult().isFailure()) {
            fail("the answer is malformed: " + part.decoderResult().cause().getMessage());
            return;
        }
        if (part instanceof HttpResponse response) {
            if (!hasValidStatus(response)) {
                fail("the answer has the invalid status " + response.status().code());
                return;
            }
            responseHead = response;
            discardBody();
        }
        if (part instanceof HttpContent content && responseHead != null) {
            handleContent(content);
        }
    }

    /** Returns whether the status is that of a final response, or of an interim one that may come without being asked for. */
    private static boolean hasValidStatus(HttpResponse response) {
        HttpResponseStatus status = response.status();
        return Refusals.isFinalStatus(status.code())
                || status.equals(HttpResponseStatus.CONTINUE)
                || status.equals(HttpResponseStatus.PROCESSING)
                || status.equals(HttpResponseStatus.EARLY_HINTS);
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
            // A truncated body continues with the response to this request.
            if (isForOtherRequest() && endOfBodyContainsRequestId(bytes)) {
                fail("a response to another request contains the id of this one");
                return;
            }
        }
        if (!(content instanceof LastHttpContent)) {
            return;
        }
        if (responseHead.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            skipResponse();
        } else if (reused && responseHead.headers().get(pool.headerNames().requestId()) == null && isNotExecuted()) {
            // This may be a late duplicate response to an earlier request on this connection.
            fail("an answer without the request's id says that something has not run");
        } else if (isForOtherRequest()) {
            LOG.info("upstream: skipped a late response to another request");
            skipResponse();
        } else {
            responseComplete = true;
            decoder.endResponse();
        }
    }

    private void skipResponse() {
        responseHead = null;
        discardBody();
        decoder.expectResponse(request.call().getMethod());
        if (++skippedResponses > MAX_SKIPPED_RESPONSES) {
            fail("too many answers before the one to the request");
        }
    }

    private void discardBody() {
        pool.bodyMemory().release(reservedBodyBytes);
        reservedBodyBytes = 0;
        responseBody = ByteString.EMPTY;
    }

    /** Returns whether the response has another request's id, or has none although a request was executed. */
    private boolean isForOtherRequest() {
        String id = responseHead.headers().get(pool.headerNames().requestId());
        return id == null ? !isNotExecuted() : !id.equals(requestId());
    }

    /** Returns whether the request's id ends within the last bytes of the body. */
    private boolean endOfBodyContainsRequestId(int lastBytes) {
        String id = requestId();
        int start = Math.max(0, responseBody.size() - lastBytes - id.length());
        return !id.isEmpty()
                && responseBody
                        .substring(start)
                        .toString(StandardCharsets.ISO_8859_1)
                        .contains(id);
    }

    private String requestId() {
        for (Header header : request.call().getHeadersList()) {
            if (header.getName().equalsIgnoreCase(pool.headerNames().requestId())) {
                return header.getValue();
            }
        }
        return "";
    }

    /** Returns whether the response states that the upstream has not executed the request. */
    private boolean isNotExecuted() {
        return responseHead.headers().contains(pool.headerNames().notExecuted())
                || responseHead.status().equals(HttpResponseStatus.MISDIRECTED_REQUEST);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext unused) {
        if (!broken && request != null && responseHead == null && decoder.bytesBeforeHead() > MAX_BYTES_BEFORE_HEAD) {
            fail("no answer within " + MAX_BYTES_BEFORE_HEAD + " bytes");
        }
        if (!broken && decoder.hasUnexpectedBytes()) {
            broken = true;
            pool.recordUnexpectedBytes();
            LOG.info(
                    "upstream: closing a connection, unexpected bytes {}",
                    request == null ? "between two requests" : "after a response");
        }
        if (broken) {
            close();
        }
        if (responseComplete) {
            completeRequest();
        }
    }

    private void completeRequest() {
        HttpResponse response = responseHead;
        CallAnswer answer = toAnswer();
        boolean hasBodyLength = HttpUtil.isTransferEncodingChunked(response) || HttpUtil.isContentLengthSet(response);
        boolean reusable = !broken && hasBodyLength && HttpUtil.isKeepAlive(response);
        keepAliveTimeoutMillis = KeepAliveHeader.timeoutMillis(response);
        Consumer<CallAnswer> callback = onAnswer;
        request = null;
        onAnswer = null;
        responseHead = null;
        discardBody();
        responseComplete = false;
        reused = true;
        idleSinceMillis = pool.clock().millis();
        if (reusable && isOpen()) {
            pool.release(this);
        } else {
            close();
        }
        callback.accept(answer);
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

    private void recordLostUnlessClosing() {
        if (!closing) {
            closing = true;
            pool.recordConnectionLost(request == null);
        }
    }

    private void fail(String reason) {
        broken = true;
        responseComplete = false;
        discardBody();
        close();
        if (onAnswer == null) {
            return;
        }
        Consumer<CallAnswer> callback = onAnswer;
        onAnswer = null;
        request = null;
        callback.accept(Refusals.refusal(ErrorKind.UPSTREAM_FAILED, reason));
    }

    @Override
    public void channelInactive(ChannelHandlerContext unused) {
        pool.remove(this);
        if (!responseComplete) {
            recordLostUnlessClosing();
        }
        if (responseComplete && !broken) {
            completeRequest();
        } else {
            fail("the upstream closed the connection");
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext unused, Throwable cause) {
        LOG.debug("upstream: connection failed", cause);
        if (cause instanceof IOException && request == null) {
            // The event that follows tells whether this was the last connection.
            broken = true;
            context.close();
            return;
        }
        if (cause instanceof IOException) {
            recordLostUnlessClosing();
        }
        fail(String.valueOf(cause.getMessage()));
    }
}
