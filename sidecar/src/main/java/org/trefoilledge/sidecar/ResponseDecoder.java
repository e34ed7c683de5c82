package org.trefoilledge.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;
import io.netty.util.ByteProcessor;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Decodes the responses on a client connection that carries one request at a time. Rejects statuses that are not three
 * digits.
 *
 * <p>A faulty server may send the beginning of a response once more. If no response is expected, these bytes are
 * discarded, and the connection must not be used again. If they arrive after the next request was sent, the response to
 * it follows them without a separator: a head in which a second status line appears is malformed.
 */
public class ResponseDecoder extends HttpResponseDecoder {
    private static final Pattern STATUS = Pattern.compile("[0-9]{3}");
    private static final String VERSION_PREFIX = "HTTP/1.";
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] [0-9]{3}");

    /** Name of the header that identifies the request, null if responses have none. */
    private final String idHeader;

    private boolean expecting;
    private boolean awaitingHead;
    private boolean headRequest;
    private boolean unexpectedBytes;
    private long bytesBeforeHead;

    /** Creates a decoder of responses that do not identify their request. */
    public ResponseDecoder() {
        this(null);
    }

    /** Creates a decoder of responses that identify their request by a header. */
    ResponseDecoder(String idHeader) {
        this.idHeader = idHeader;
    }

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
        int firstDecoded = out.size();
        super.decode(context, in, out);
        for (Object part : out.subList(firstDecoded, out.size())) {
            rejectJoinedHead(part);
        }
    }

    private void rejectJoinedHead(Object part) {
        if (part instanceof HttpResponse response) {
            awaitingHead = false;
            if (containsStatusLine(response.status().reasonPhrase()) || hasStatusLine(response.headers())) {
                response.setDecoderResult(
                        DecoderResult.failure(new IllegalArgumentException("the head has a second status line")));
            }
        }
        if (part instanceof LastHttpContent last && !last.trailingHeaders().isEmpty()) {
            HttpHeaders trailer = last.trailingHeaders();
            if (hasStatusLine(trailer) || (idHeader != null && trailer.contains(idHeader))) {
                last.setDecoderResult(
                        DecoderResult.failure(new IllegalArgumentException("the trailer is the head of a response")));
            }
        }
    }

    /**
     * Returns whether a header contains the status line of another response. A value may look like one if the id precedes
     * it and does not follow it: if two responses run together, the id of the second one follows its status line.
     */
    private boolean hasStatusLine(HttpHeaders headers) {
        boolean idSeen = false;
        boolean statusLineSeen = false;
        Iterator<Map.Entry<CharSequence, CharSequence>> entries = headers.iteratorCharSequence();
        while (entries.hasNext()) {
            Map.Entry<CharSequence, CharSequence> header = entries.next();
            boolean isId = idHeader != null && AsciiString.contentEqualsIgnoreCase(header.getKey(), idHeader);
            if (statusLineSeen && isId) {
                return true;
            }
            if (containsStatusLine(header.getValue())) {
                if (!idSeen) {
                    return true;
                }
                statusLineSeen = true;
            }
            idSeen |= isId;
        }
        return false;
    }

    private static boolean containsStatusLine(CharSequence text) {
        return text.toString().contains(VERSION_PREFIX)
                && STATUS_LINE.matcher(text).find();
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
