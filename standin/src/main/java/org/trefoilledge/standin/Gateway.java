package org.trefoilledge.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.List;
import java.util.function.Consumer;

/** The calls of the etcd v3 JSON gateway on the content of the store: range, put and transactions. Thread-safe. */
final class Gateway {
    private static final int MAX_VALUE_BYTES = 1024 * 1024;
    private static final int BAD_REQUEST = 400;
    private static final int INVALID_ARGUMENT = 3;

    private final Consumer<KeyValues.Item> changed;
    private KeyValues content = new KeyValues();
    private KeyValues saved = new KeyValues();

    /** The listener is called in the order of the changes, while the content is locked. */
    Gateway(Consumer<KeyValues.Item> changed) {
        this.changed = changed;
    }

    synchronized void save() {
        saved = content.copy();
    }

    synchronized void restore() {
        content = saved.copy();
    }

    synchronized ObjectNode range(JsonNode message) throws StandinException {
        return respond(rangeOf(message));
    }

    synchronized ObjectNode put(JsonNode message) throws StandinException {
        putOf(message);
        return respond(object());
    }

    synchronized ObjectNode transaction(JsonNode message) throws StandinException {
        boolean succeeded = true;
        for (JsonNode compare : message.path("compare")) {
            succeeded &= holds(compare);
        }
        JsonNode operations = message.path(succeeded ? "success" : "failure");
        for (JsonNode operation : operations) {
            checkValue(operation.path("request_put"));
        }
        ObjectNode answer = object();
        if (succeeded) {
            answer.put("succeeded", true);
        }
        ArrayNode responses = answer.putArray("responses");
        for (JsonNode operation : operations) {
            responses.add(execute(operation));
        }
        return respond(answer);
    }

    private ObjectNode execute(JsonNode operation) throws StandinException {
        ObjectNode answer = object();
        if (operation.has("request_put")) {
            putOf(operation.path("request_put"));
            answer.putObject("response_put").set("header", header());
        } else if (operation.has("request_range")) {
            answer.set("response_range", respond(rangeOf(operation.path("request_range"))));
        } else {
            throw invalid("the stand-in executes only request_put and request_range in a transaction");
        }
        return answer;
    }

    private boolean holds(JsonNode compare) throws StandinException {
        boolean supported = compare.path("target").asText().equals("MOD")
                && compare.path("result").asText().equals("EQUAL");
        if (!supported) {
            throw invalid("the stand-in compares only target MOD with result EQUAL");
        }
        KeyValues.Item item = content.get(bytes(compare, "key"));
        return (item == null ? 0 : item.modRevision())
                == compare.path("mod_revision").asLong();
    }

    private void putOf(JsonNode message) throws StandinException {
        checkValue(message);
        changed.accept(content.put(bytes(message, "key"), bytes(message, "value")));
    }

    private static void checkValue(JsonNode put) throws StandinException {
        if (bytes(put, "value").length() > MAX_VALUE_BYTES) {
            throw invalid("etcdserver: request is too large");
        }
    }

    private ObjectNode rangeOf(JsonNode message) throws StandinException {
        List<KeyValues.Item> found = content.range(bytes(message, "key"), bytes(message, "range_end"));
        long limit = message.path("limit").asLong();
        ObjectNode answer = object();
        ArrayNode kvs = answer.putArray("kvs");
        found.stream().limit(limit == 0 ? Long.MAX_VALUE : limit).forEach(item -> kvs.add(json(item)));
        if (kvs.size() < found.size()) {
            answer.put("more", true);
        }
        return answer.put("count", Integer.toString(found.size()));
    }

    private ObjectNode respond(ObjectNode answer) {
        answer.set("header", header());
        return answer;
    }

    /** Runs a task between two changes. */
    synchronized void betweenChanges(Runnable task) {
        task.run();
    }

    synchronized ObjectNode header() {
        return object().put("cluster_id", "1").put("member_id", "1").put("revision", Long.toString(content.revision()));
    }

    static ObjectNode json(KeyValues.Item item) {
        return object().put("key", base64(item.key()))
                .put("create_revision", Long.toString(item.createRevision()))
                .put("mod_revision", Long.toString(item.modRevision()))
                .put("version", Long.toString(item.version()))
                .put("value", base64(item.value()));
    }

    static String bytes(JsonNode message, String field) throws StandinException {
        try {
            return new String(Base64.getDecoder().decode(message.path(field).asText("")), StandardCharsets.ISO_8859_1);
        } catch (IllegalArgumentException e) {
            throw invalid(field + " is not valid base64");
        }
    }

    private static String base64(String bytes) {
        return Base64.getEncoder().encodeToString(bytes.getBytes(StandardCharsets.ISO_8859_1));
    }

    static StandinException invalid(String message) {
        return new StandinException(BAD_REQUEST, INVALID_ARGUMENT, message);
    }

    static ObjectNode object() {
        return JsonNodeFactory.instance.objectNode();
    }
}
