package org.trefoilledge.sidecar;

import com.google.protobuf.ByteString;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.trefoilledge.wire.generated.CallAnswer;
import org.trefoilledge.wire.generated.Header;

/** Encodes answers as HTTP responses to callers. */
final class CallerResponses {
    private static final double MILLIS_PER_SECOND = 1_000.0;

    private CallerResponses() {}

    /** @param headRequest whether the request has the method HEAD, whose response has no body */
    static FullHttpResponse encode(CallAnswer answer, boolean headRequest) {
        ByteString bytes = Refusals.isRefusal(answer) ? ByteString.EMPTY : answer.getBody();
        HttpResponseStatus status = HttpResponseStatus.valueOf(answer.getStatus());
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                status,
                headRequest ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(bytes.asReadOnlyByteBuffer()),
                ForwardedHeaders.WITHOUT_VALIDATION,
                ForwardedHeaders.WITHOUT_VALIDATION);
        for (Header header : answer.getHeadersList()) {
            response.headers().add(header.getName(), header.getValue());
        }
        boolean omitLength = answer.getStatus() == HttpResponseStatus.NO_CONTENT.code()
                || answer.getStatus() == HttpResponseStatus.NOT_MODIFIED.code();
        if (!omitLength && !(headRequest && bytes.isEmpty())) {
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, bytes.size());
        }
        if (answer.getRetryAfterMillis() > 0) {
            double seconds = answer.getRetryAfterMillis() / MILLIS_PER_SECOND;
            response.headers().set(HttpHeaderNames.RETRY_AFTER, Double.toString(seconds));
        }
        return response;
    }
}
