package org.trefoilledge.configstore;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;

/** Messages of the etcd v3 JSON gateway: keys and values are in base64, 64-bit numbers are texts. */
final class EtcdJson {
    static final ObjectMapper MAPPER = new ObjectMapper();

    private EtcdJson() {}

    static ObjectNode rangeOfOne(String key) {
        return object().put("key", base64(key));
    }

    static ObjectNode range(String firstKey, String endKey, int limit) {
        return rangeOfOne(firstKey).put("range_end", base64(endKey)).put("limit", Integer.toString(limit));
    }

    /** Returns a transaction that writes if the key has the expected revision, 0 for an absent key. */
    static ObjectNode swap(String key, long expectedModRevision, String value) {
        ObjectNode message = object();
        message.putArray("compare")
                .addObject()
                .put("key", base64(key))
                .put("target", "MOD")
                .put("result", "EQUAL")
                .put("mod_revision", Long.toString(expectedModRevision));
        message.putArray("success")
                .addObject()
                .putObject("request_put")
                .put("key", base64(key))
                .put("value", base64(value));
        return message;
    }

    static ObjectNode watch(String prefix) {
        ObjectNode message = object();
        message.putObject("create_request")
                .put("key", base64(prefix))
                .put("range_end", Base64.getEncoder().encodeToString(endOfPrefix(prefix)));
        return message;
    }

    static List<StoredValue> values(JsonNode rangeResponse) throws StoreException {
        List<StoredValue> values = new ArrayList<>();
        for (JsonNode kv : rangeResponse.path("kvs")) {
            values.add(value(kv));
        }
        return values;
    }

    static StoredValue value(JsonNode kv) throws StoreException {
        try {
            return new StoredValue(
                    text(kv.path("key").asText()),
                    text(kv.path("value").asText("")),
                    kv.path("mod_revision").asLong());
        } catch (IllegalArgumentException e) {
            throw new StoreException("the store's response is not valid base64", e);
        }
    }

    /** Returns the first key after all keys with the prefix, which etcd takes as the end of a range. */
    private static byte[] endOfPrefix(String prefix) {
        byte[] bytes = prefix.getBytes(StandardCharsets.UTF_8);
        for (int i = bytes.length - 1; i >= 0; i--) {
            if (bytes[i] != (byte) 0xff) {
                byte[] end = java.util.Arrays.copyOf(bytes, i + 1);
                end[i]++;
                return end;
            }
        }
        return new byte[] {0};
    }

    private static ObjectNode object() {
        return JsonNodeFactory.instance.objectNode();
    }

    private static String base64(String text) {
        return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
    }

    private static String text(String base64) {
        return new String(Base64.getDecoder().decode(base64), StandardCharsets.UTF_8);
    }
}
