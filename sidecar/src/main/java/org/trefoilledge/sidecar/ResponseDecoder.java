package org.trefoilledge.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.ByteProcessor;
import java.util.List;
import java.util.regex.Pattern;

/**
 * Decodes the responses on a client connection that carries one request at a time. Rejects statuses that are not three
 * digits.
 *
 * <p>A faulty server may send the beginning of a response once more. If no response is expected, these bytes are
 * discarded, and the connection must not be used again.
 */
public class ResponseDecoder extends HttpResponseDecoder {
    private static final Pattern STATUS = Pattern.compile("[0-9]{3}");
    private boolean expecting;
    private boolean awaitingHead;
    private boolean headRequest;
    private boolean unexpectedBytes;
    private long bytesBeforeHead;

    /** Must be called before a request is sent, and for each further response to it. */
    public void expectResponse(String method) {
        expecting = true;
        awaitingHead = true;
        headRequest = method.equals(HttpMethod.HEAD.name());
        bytesBeforeHead = 0;
    }

    /** Must be called when the last response to a request is complete. The bytes that follow it are unexpected. */
    public void endResponse() {
        expecting = false;
    }

    /** Returns whether bytes have arrived that belong to no expected response. */
    public boolean hasUnexpectedBytes() {
        return unexpectedBytes;
    }

    /** Returns the number of bytes that have arrived while the head of the expected response is incomplete. */
    long bytesBeforeHead() {
        return bytesBeforeHead;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object bytes) throws Exception {
        if (awaitingHead && bytes instanceof ByteBuf buffer) {
            bytesBeforeHead += buffer.readableBytes();
        }
        super.channelRead(context, bytes);
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws Exception {
        if (!expecting) {
            // Empty lines between responses are harmless.
            unexpectedBytes |= in.forEachByte(ByteProcessor.FIND_NON_CRLF) >= 0;
            in.skipBytes(in.readableBytes());
            return;
        }
        super.decode(context, in, out);
        awaitingHead &= out.stream().noneMatch(HttpResponse.class::isInstance);
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return headRequest || super.isContentAlwaysEmpty(message);
    }

    @Override
    protected HttpMessage createMessage(String[] initialLine) {
        // The library parses the status as any integer: "0200" and "+200" would pass as 200.
        if (!STATUS.matcher(initialLine[1]).matches()) {
            throw new IllegalArgumentException("invalid status");
        }
        return super.createMessage(initialLine);
    }
}
