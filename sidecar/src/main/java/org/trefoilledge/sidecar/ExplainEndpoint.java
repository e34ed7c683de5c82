package org.trefoilledge.sidecar;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;

/**
 * Answers questions about where a request would go: POST with the fields {@code method}, {@code host}, {@code path} and
 * {@code key}. GET identifies the address, so that a client sends a key to no other server by mistake.
 */
final class ExplainEndpoint {
    /** Path on the operators' address. */
    static final String PATH = "/explain";

    private static final JsonMapper JSON = new JsonMapper();
    private static final int MAX_METHOD_LENGTH = 16;

    private final RequestExplainer explainer;
    private final Executor trafficThread;
    private final SidecarMetrics metrics;

    ExplainEndpoint(RequestExplainer explainer, Executor trafficThread, SidecarMetrics metrics) {
        this.explainer = explainer;
        this.trafficThread = trafficThread;
        this.metrics = metrics;
    }

    /** Returns 200 with the explanation, 400 for a malformed question, or 404 if host, path or key are unknown. */
    CompletableFuture<Endpoint.Response> handle(String method, byte[] body) {
        if (method.equals("GET")) {
            return CompletableFuture.completedFuture(
                    response(200, JSON.createObjectNode().put("server", "trefoilledge-explain")));
        }
        if (!method.equals("POST")) {
            return CompletableFuture.completedFuture(error(405, "the method must be GET or POST"));
        }
        RequestExplainer.Query query;
        try {
            query = readQuery(JSON.readTree(body));
        } catch (IOException e) {
            // The message of the parser quotes the body, which may contain a key.
            return CompletableFuture.completedFuture(error(400, "the body is not valid JSON"));
        } catch (IllegalArgumentException e) {
            return CompletableFuture.completedFuture(error(400, e.getMessage()));
        }
        metrics.recordExplanation();
        return CompletableFuture.supplyAsync(() -> explain(query), trafficThread);
    }

    private Endpoint.Response explain(RequestExplainer.Query query) {
        try {
            Explanation explanation = explainer.explain(query);
            ObjectNode result = JSON.createObjectNode();
            result.set("explanation", ExplanationFormat.toJson(explanation));
            return response(200, result.put("text", ExplanationFormat.toText(explanation)));
        } catch (RequestExplainer.UnknownRequestException e) {
            return error(404, e.getMessage());
        }
    }

    private static RequestExplainer.Query readQuery(JsonNode body) {
        String method = field(body, "method");
        String path = field(body, "path");
        String host = field(body, "host");
        if (!method.matches("[A-Za-z]+") || method.length() > MAX_METHOD_LENGTH) {
            throw new IllegalArgumentException("method must be an HTTP method of letters");
        }
        if (host.isBlank()) {
            throw new IllegalArgumentException("host must not be empty");
        }
        if (!path.startsWith("/")) {
            throw new IllegalArgumentException("path must start with /");
        }
        return new RequestExplainer.Query(method, host, path, field(body, "key"));
    }

    private static String field(JsonNode body, String name) {
        JsonNode value = body == null ? null : body.get(name);
        if (value != null && !value.isTextual()) {
            throw new IllegalArgumentException(name + " must be a string");
        }
        return value == null ? "" : value.textValue();
    }

    private static Endpoint.Response error(int status, String message) {
        return response(status, JSON.createObjectNode().put("error", message));
    }

    private static Endpoint.Response response(int status, ObjectNode body) {
        return new Endpoint.Response(status, "application/json", body.toString());
    }
}
