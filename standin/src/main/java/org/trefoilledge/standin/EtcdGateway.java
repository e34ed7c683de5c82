package org.trefoilledge.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.List;
import java.util.function.Consumer;

/** Executes the range, put and transaction calls of the etcd v3 JSON gateway on an in-memory store. Thread-safe. */
final class EtcdGateway {
    private static final int MAX_VALUE_BYTES = 1024 * 1024;
    private static final int HTTP_BAD_REQUEST = 400;
    private static final int GRPC_INVALID_ARGUMENT = 3;

    private final Consumer<KeyValueStore.KeyValue> changeListener;
    private KeyValueStore store = new KeyValueStore();
    private KeyValueStore savedStore = new KeyValueStore();

    /** The listener is notified of changes in revision order, while the lock of this gateway is held. */
    EtcdGateway(Consumer<KeyValueStore.KeyValue> changeListener) {
        this.changeListener = changeListener;
    }

    synchronized void save() {
        savedStore = store.copy();
    }

    synchronized void restore() {
        store = savedStore.copy();
    }

    synchronized ObjectNode range(JsonNode message) throws StandinException {
        return withHeader(executeRange(message));
    }

    synchronized ObjectNode put(JsonNode message) throws StandinException {
        executePut(message);
        return withHeader(newObject());
    }

    synchronized ObjectNode transaction(JsonNode message) throws StandinException {
        boolean succeeded = true;
        for (JsonNode compare : message.path("compare")) {
            succeeded &= comparisonHolds(compare);
        }
        JsonNode operations = message.path(succeeded ? "success" : "failure");
        for (JsonNode operation : operations) {
            checkValueSize(operation.path("request_put"));
        }
        ObjectNode response = newObject();
        if (succeeded) {
            response.put("succeeded", true);
        }
        ArrayNode responses = response.putArray("responses");
        for (JsonNode operation : operations) {
            responses.add(executeOperation(operation));
        }
        return withHeader(response);
    }

    private ObjectNode executeOperation(JsonNode operation) throws StandinException {
        ObjectNode response = newObject();
        if (operation.has("request_put")) {
            executePut(operation.path("request_put"));
            response.putObject("response_put").set("header", header());
        } else if (operation.has("request_range")) {
            response.set("response_range", withHeader(executeRange(operation.path("request_range"))));
        } else {
            throw invalidArgument("the stand-in executes only request_put and request_range in a transaction");
        }
        return response;
    }

    private boolean comparisonHolds(JsonNode compare) throws StandinException {
        boolean supported = compare.path("target").asText().equals("MOD")
                && compare.path("result").asText().equals("EQUAL");
        if (!supported) {
            throw invalidArgument("the stand-in compares only target MOD with result EQUAL");
        }
        KeyValueStore.KeyValue item = store.get(decodeBytes(compare, "key"));
        return (item == null ? 0 : item.modRevision())
                == compare.path("mod_revision").asLong();
    }

    private void executePut(JsonNode message) throws StandinException {
        checkValueSize(message);
        changeListener.accept(store.put(decodeBytes(message, "key"), decodeBytes(message, "value")));
    }

    private static void checkValueSize(JsonNode put) throws StandinException {
        if (decodeBytes(put, "value").length() > MAX_VALUE_BYTES) {
            throw invalidArgument("etcdserver: request is too large");
        }
    }

    private ObjectNode executeRange(JsonNode message) throws StandinException {
        List<KeyValueStore.KeyValue> matches =
                store.range(decodeBytes(message, "key"), decodeBytes(message, "range_end"));
        long limit = message.path("limit").asLong();
        ObjectNode response = newObject();
        ArrayNode kvs = response.putArray("kvs");
        matches.stream().limit(limit == 0 ? Long.MAX_VALUE : limit).forEach(item -> kvs.add(toJson(item)));
        if (kvs.size() < matches.size()) {
            response.put("more", true);
        }
        return response.put("count", Integer.toString(matches.size()));
    }

    private ObjectNode withHeader(ObjectNode response) {
        response.set("header", header());
        return response;
    }

    /** Runs a task under the lock of this gateway, so that no change happens meanwhile. */
    synchronized void runExclusively(Runnable task) {
        task.run();
    }

    synchronized ObjectNode header() {
        return newObject()
                .put("cluster_id", "1")
                .put("member_id", "1")
                .put("revision", Long.toString(store.revision()));
    }

    static ObjectNode toJson(KeyValueStore.KeyValue item) {
        return newObject()
                .put("key", encodeBase64(item.key()))
                .put("create_revision", Long.toString(item.createRevision()))
                .put("mod_revision", Long.toString(item.modRevision()))
                .put("version", Long.toString(item.version()))
                .put("value", encodeBase64(item.value()));
    }

    static String decodeBytes(JsonNode message, String field) throws StandinException {
        try {
            return new String(Base64.getDecoder().decode(message.path(field).asText("")), StandardCharsets.ISO_8859_1);
        } catch (IllegalArgumentException e) {
            throw invalidArgument(field + " is not valid base64");
        }
    }

    private static String encodeBase64(String bytes) {
        return Base64.getEncoder().encodeToString(bytes.getBytes(StandardCharsets.ISO_8859_1));
    }

    static StandinException invalidArgument(String message) {
        return new StandinException(HTTP_BAD_REQUEST, GRPC_INVALID_ARGUMENT, message);
    }

    static ObjectNode newObject() {
        return JsonNodeFactory.instance.objectNode();
    }
}
