package org.trefoilledge.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.io.EofException;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Promise;
import org.eclipse.jetty.util.thread.Invocable.InvocationType;

/** An HTTP request and its response: a JSON body, or a closed or reset connection. */
record Exchange(Request request, Response response, Callback callback) {
    static final ObjectMapper MAPPER = new ObjectMapper();

    private static final int MAX_BODY_BYTES = 4 * 1024 * 1024;

    String method() {
        return request.getMethod();
    }

    String path() {
        return request.getHttpURI().getPath();
    }

    String header(String name) {
        return request.getHeaders().get(name);
    }

    /** Reads the whole body and passes it to the consumer. The exchange fails if the body cannot be read. */
    void readBody(Consumer<byte[]> consumer) {
        Content.Source.asByteArrayAsync(
                request,
                MAX_BODY_BYTES,
                Promise.Invocable.from(InvocationType.NON_BLOCKING, failOnException(consumer), callback::failed));
    }

    private Consumer<byte[]> failOnException(Consumer<byte[]> consumer) {
        return body -> {
            try {
                consumer.accept(body);
            } catch (RuntimeException e) {
                callback.failed(e);
            }
        };
    }

    static JsonNode parseObject(byte[] body) throws StandinException {
        try {
            JsonNode parsed = MAPPER.readTree(body);
            if (!parsed.isObject()) {
                throw new StandinException(400, 3, "expected a JSON object");
            }
            return parsed;
        } catch (JsonProcessingException e) {
            throw new StandinException(400, 3, "expected JSON: " + e.getOriginalMessage());
        } catch (IOException e) {
            throw new StandinException(400, 3, "expected JSON: " + e.getMessage());
        }
    }

    void sendJson(int status, JsonNode body) {
        sendJson(status, body.toString().getBytes(StandardCharsets.UTF_8));
    }

    void sendJson(int status, byte[] body) {
        response.setStatus(status);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        response.getHeaders().put(HttpHeader.CONTENT_LENGTH, body.length);
        response.write(true, ByteBuffer.wrap(body), callback);
    }

    /** Sends an error in the JSON format of the gRPC gateway. */
    void sendError(StandinException e) {
        ObjectNode body = MAPPER.createObjectNode();
        sendJson(
                e.httpStatus(),
                body.put("error", e.getMessage()).put("code", e.grpcCode()).put("message", e.getMessage()));
    }

    /**
     * Sends a JSON response and resets the connection after part of the body.
     *
     * @param resetAfterBytes body bytes to send before the reset; 0 resets the connection before the response starts,
     *     and a negative value or one of at least the body size disables the reset
     */
    void sendJsonWithReset(int status, byte[] body, long resetAfterBytes) {
        if (resetAfterBytes < 0 || resetAfterBytes >= body.length) {
            sendJson(status, body);
            return;
        }
        if (resetAfterBytes == 0) {
            reset();
            return;
        }
        response.setStatus(status);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        response.getHeaders().put(HttpHeader.CONTENT_LENGTH, body.length);
        ByteBuffer part = ByteBuffer.wrap(body, 0, Math.toIntExact(resetAfterBytes));
        response.write(false, part, Callback.from(this::reset, failure -> reset()));
    }

    private void reset() {
        endPoint().closeWithReset();
        callback.failed(new EofException("the stand-in reset the connection"));
    }

    /** Returns the observed connection; only for servers whose connector is {@link ObservedEndPoint.Connector}. */
    ObservedEndPoint endPoint() {
        return (ObservedEndPoint)
                request.getConnectionMetaData().getConnection().getEndPoint();
    }

    /** Closes the connection without a response. */
    void abort() {
        request.getConnectionMetaData().getConnection().getEndPoint().close();
        callback.failed(new EofException("the stand-in closed the connection"));
    }
}
