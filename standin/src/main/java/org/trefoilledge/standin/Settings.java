package org.trefoilledge.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Merges a partial JSON object into a settings record. */
final class Settings {
    private Settings() {}

    static <T> T merge(T current, JsonNode changes, Class<T> type) throws StandinException {
        ObjectNode merged = Exchange.MAPPER.valueToTree(current);
        merged.setAll((ObjectNode) changes);
        try {
            return Exchange.MAPPER.treeToValue(merged, type);
        } catch (JsonProcessingException | IllegalArgumentException e) {
            throw new StandinException(400, 0, "invalid settings: " + e.getMessage());
        }
    }
}
