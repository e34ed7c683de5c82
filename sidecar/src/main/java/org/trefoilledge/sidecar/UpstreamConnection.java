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
    private static final int MAX_SKIPPED_ANSWERS = 16;

    private final UpstreamPool pool;
    private final AnswerDecoder decoder = new AnswerDecoder();
    private ChannelHandlerContext context;
    private UpstreamPool.Dispatch dispatch;
    private Consumer<CallAnswer> answered;
    private HttpResponse head;
    private ByteString body = ByteString.EMPTY;
    private long heldBytes;
    private long bytesBeforeHead;
    private int skippedAnswers;
    private boolean answerComplete;
    private boolean usedBefore;
    private boolean broken;
    private long idleSince;
    private long announcedIdleMillis = Long.MAX_VALUE;

    /** Knows that the answer to a HEAD request has no body, and tells about bytes behind an answer. */
    private final class AnswerDecoder extends HttpResponseDecoder {
        @Override
        protected boolean isContentAlwaysEmpty(HttpMessage message) {
            boolean toHead = dispatch != null && dispatch.call().getMethod().equals(HttpMethod.HEAD.name());
            return toHead || super.isContentAlwaysEmpty(message);
        }

        @Override
        public void channelRead(ChannelHandlerContext decoding, Object bytes) throws Exception {
            if (head == null && bytes instanceof ByteBuf buffer) {
                bytesBeforeHead += buffer.readableBytes();
            }
            super.channelRead(decoding, bytes);
        }

        boolean buffered() {
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
        return now - idleSince;
    }

    /** Returns how long the connection may be idle: the given time, or half of what the upstream has announced. */
    long idleBound(long otherwise) {
        return Math.min(otherwise, announcedIdleMillis / 2);
    }

    /** Sends a request over this connection, which must be idle. */
    void send(UpstreamPool.Dispatch next, Consumer<CallAnswer> whenAnswered) {
        dispatch = next;
        answered = whenAnswered;
        head = null;
        answerComplete = false;
        bytesBeforeHead = 0;
        skippedAnswers = 0;
        context.writeAndFlush(request(next)).addListener(written -> {
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

    private FullHttpRequest request(UpstreamPool.Dispatch next) {
        Call call = next.call();
        ByteString bytes = call.getBody();
        FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(call.getMethod()),
                call.getTarget(),
                Unpooled.wrappedBuffer(bytes.asReadOnlyByteBuffer()),
                ForwardedHeaders.CHECKED_BEFORE,
                ForwardedHeaders.CHECKED_BEFORE);
        for (Header header : call.getHeadersList()) {
            request.headers().add(header.getName(), header.getValue());
        }
        long left = Math.max(1, next.deadlineMillis() - pool.clock().millis());
        request.headers().set(pool.names().deadlineMillis(), Long.toString(left));
        request.headers().set(pool.names().expectedUpstream(), next.upstreamId());
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
        if (dispatch == null || answerComplete) {
            broken = true;
            LOG.info("upstream: closing a connection on which bytes follow an answer");
            return;
        }
        if (part.decoderResult().isFailure()) {
            fail("the answer is malformed");
            return;
        }
        if (part instanceof HttpResponse response) {
            head = response;
            dropBody();
        }
        if (part instanceof HttpContent content && head != null) {
            received(content);
        }
    }

    private void received(HttpContent content) {
        int bytes = content.content().readableBytes();
        if (bytes > 0) {
            if (!pool.room().take(bytes)) {
                fail("the answer is larger than the room for bodies");
                return;
            }
            heldBytes += bytes;
            body = body.concat(ByteString.copyFrom(content.content().nioBuffer()));
        }
        if (!(content instanceof LastHttpContent)) {
            return;
        }
        if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            skipAnswer();
        } else if (usedBefore && head.headers().get(pool.names().requestId()) == null && notExecuted()) {
            // It may be a late copy for an earlier request, whose answer came before.
            fail("an answer without the request's id says that something has not run");
        } else if (belongsToOther()) {
            LOG.info("upstream: skipped a late answer to another request");
            skipAnswer();
        } else {
            answerComplete = true;
        }
    }

    private void skipAnswer() {
        head = null;
        dropBody();
        bytesBeforeHead = 0;
        if (++skippedAnswers > MAX_SKIPPED_ANSWERS) {
            fail("too many answers before the one to the request");
        }
    }

    private void dropBody() {
        pool.room().giveBack(heldBytes);
        heldBytes = 0;
        body = ByteString.EMPTY;
    }

    /** Returns whether the answer names another request, or names none although the upstream has run something. */
    private boolean belongsToOther() {
        String id = head.headers().get(pool.names().requestId());
        if (id == null) {
            return !notExecuted();
        }
        return !id.equals(requestId());
    }

    private String requestId() {
        for (Header header : dispatch.call().getHeadersList()) {
            if (header.getName().equalsIgnoreCase(pool.names().requestId())) {
                return header.getValue();
            }
        }
        return "";
    }

    private boolean notExecuted() {
        return head.headers().contains(pool.names().notExecuted())
                || head.status().equals(HttpResponseStatus.MISDIRECTED_REQUEST);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext unused) {
        if (!broken && dispatch != null && head == null && bytesBeforeHead > MAX_BYTES_BEFORE_HEAD) {
            fail("no answer within " + MAX_BYTES_BEFORE_HEAD + " bytes");
        }
        if (broken) {
            context.close();
        }
        if (answerComplete) {
            finish();
        }
    }

    private void finish() {
        HttpResponse response = head;
        CallAnswer answer = answer();
        boolean framed = HttpUtil.isTransferEncodingChunked(response) || HttpUtil.isContentLengthSet(response);
        boolean reusable = !broken && framed && HttpUtil.isKeepAlive(response) && !decoder.buffered();
        announcedIdleMillis = announcedIdle(response);
        Consumer<CallAnswer> listener = answered;
        dispatch = null;
        answered = null;
        head = null;
        dropBody();
        answerComplete = false;
        usedBefore = true;
        idleSince = pool.clock().millis();
        if (reusable && context.channel().isActive()) {
            pool.released(this);
        } else {
            context.close();
        }
        listener.accept(answer);
    }

    private CallAnswer answer() {
        int status = head.status().code();
        if (notExecuted()) {
            return Refusals.refusal(ErrorKind.OVERLOADED, "the upstream has not run it: " + status).toBuilder()
                    .setReachedUpstream(true)
                    .build();
        }
        boolean success = head.status().codeClass() == HttpStatusClass.SUCCESS;
        if (success && !head.headers().contains(pool.names().signature())) {
            return Refusals.refusal(ErrorKind.UPSTREAM_FAILED, "the answer has no signature");
        }
        if (head.headers().contains(HttpHeaderNames.CONTENT_ENCODING)) {
            return Refusals.refusal(ErrorKind.UPSTREAM_FAILED, "the answer has an encoding that nobody asked for");
        }
        CallAnswer.Builder answer = CallAnswer.newBuilder().setStatus(status).setBody(body);
        Iterator<Map.Entry<CharSequence, CharSequence>> headers = head.headers().iteratorCharSequence();
        while (headers.hasNext()) {
            Map.Entry<CharSequence, CharSequence> header = headers.next();
            if (ForwardedHeaders.forwarded(header.getKey().toString(), head.headers())) {
                answer.addHeaders(Header.newBuilder()
                        .setName(header.getKey().toString())
                        .setValue(header.getValue().toString()));
            }
        }
        return answer.build();
    }

    private static long announcedIdle(HttpResponse response) {
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
        answerComplete = false;
        dropBody();
        context.close();
        if (answered == null) {
            return;
        }
        Consumer<CallAnswer> listener = answered;
        answered = null;
        dispatch = null;
        listener.accept(Refusals.refusal(ErrorKind.UPSTREAM_FAILED, reason));
    }

    @Override
    public void channelInactive(ChannelHandlerContext unused) {
        pool.closed(this);
        if (answerComplete && !broken) {
            finish();
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
