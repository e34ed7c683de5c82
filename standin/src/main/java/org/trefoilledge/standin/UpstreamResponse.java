package org.trefoilledge.standin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.util.Fields;

/** Builds the response bodies of the upstream. */
final class UpstreamResponse {
    private static final int MAX_BODY_BYTES = 16 * 1024 * 1024;
    private static final String PADDING_FIELD_START = ",\"padding\":\"";
    private static final String PADDING_FIELD_END = "\"}";

    private UpstreamResponse() {}

    static ObjectNode errorBody(String message) {
        return Exchange.MAPPER.createObjectNode().put("error", message);
    }

    static byte[] encode(ObjectNode body) {
        return body.toString().getBytes(StandardCharsets.UTF_8);
    }

    /** Returns a JSON body that describes the executed request, padded to the size in the query parameter. */
    static byte[] successBody(UpstreamOptions options, Execution execution) {
        Exchange exchange = execution.exchange();
        Fields query = Request.extractQueryParameters(exchange.request());
        String requestId = requestId(exchange, query);
        ObjectNode body = Exchange.MAPPER
                .createObjectNode()
                .put("host", options.host())
                .put("service", options.service())
                .put("method", exchange.method())
                .put("path", exchange.path())
                .put("requestId", requestId)
                .put("idempotencyKey", execution.idempotencyKey())
                .put("organisation", exchange.header("Trefoilledge-Organisation"))
                .put("bodyBytes", execution.bodyBytes());
        return pad(body.toString(), requestId, requestedSize(query));
    }

    private static String requestId(Exchange exchange, Fields query) {
        String header = exchange.header("Request-Id");
        return header == null ? query.getValue("id") : header;
    }

    private static int requestedSize(Fields query) {
        try {
            String size = query.getValue("size");
            return size == null ? 0 : Math.min(MAX_BODY_BYTES, Integer.parseInt(size));
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    /** Derives the padding from the request ID, so that a mix of two responses can be detected. */
    private static byte[] pad(String json, String requestId, int size) {
        byte[] plain = json.getBytes(StandardCharsets.UTF_8);
        int paddingLength = size - plain.length - PADDING_FIELD_START.length() - PADDING_FIELD_END.length() + 1;
        if (paddingLength < 0) {
            return plain;
        }
        String unit = Integer.toHexString(String.valueOf(requestId).hashCode()) + ".";
        String padding = unit.repeat(paddingLength / unit.length() + 1).substring(0, paddingLength);
        String openObject = json.substring(0, json.length() - 1);
        return (openObject + PADDING_FIELD_START + padding + PADDING_FIELD_END).getBytes(StandardCharsets.UTF_8);
    }
}
