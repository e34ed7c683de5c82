package org.trefoilledge.sidecar;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * Reads and writes JSON trees as {@link com.fasterxml.jackson.databind.ObjectMapper} does, without the databind classes
 * that an {@code ObjectMapper} loads and initialises at the start, which took 40 ms of CPU time. Thread-safe.
 */
public final class Json {
    /** Reading recurses, so deeper documents could exhaust the stack of 256 KB. */
    private static final int MAX_DEPTH = 100;

    private static final JsonFactory FACTORY = JsonFactory.builder()
            .streamReadConstraints(
                    StreamReadConstraints.builder().maxNestingDepth(MAX_DEPTH).build())
            .build();
    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

    /** Returns a new empty object. */
    public ObjectNode createObjectNode() {
        return NODES.objectNode();
    }

    /**
     * Parses the first value of a document; {@link MissingNode} if it has none.
     *
     * @throws IOException if the value is not valid JSON
     */
    public JsonNode readTree(byte[] document) throws IOException {
        try (JsonParser parser = FACTORY.createParser(document)) {
            return parser.nextToken() == null ? MissingNode.getInstance() : readValue(parser);
        }
    }

    private static JsonNode readValue(JsonParser parser) throws IOException {
        return switch (parser.currentToken()) {
            case START_OBJECT -> readObject(parser);
            case START_ARRAY -> readArray(parser);
            case VALUE_STRING -> NODES.textNode(parser.getText());
            case VALUE_NUMBER_INT -> readInteger(parser);
            case VALUE_NUMBER_FLOAT -> NODES.numberNode(parser.getDoubleValue());
            case VALUE_TRUE, VALUE_FALSE -> NODES.booleanNode(parser.getBooleanValue());
            case VALUE_NULL -> NODES.nullNode();
            default -> throw new IOException("unexpected JSON token " + parser.currentToken());
        };
    }

    private static ObjectNode readObject(JsonParser parser) throws IOException {
        ObjectNode object = NODES.objectNode();
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            parser.nextToken();
            object.set(name, readValue(parser));
        }
        return object;
    }

    private static ArrayNode readArray(JsonParser parser) throws IOException {
        ArrayNode array = NODES.arrayNode();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            array.add(readValue(parser));
        }
        return array;
    }

    private static JsonNode readInteger(JsonParser parser) throws IOException {
        return switch (parser.getNumberType()) {
            case INT -> NODES.numberNode(parser.getIntValue());
            case LONG -> NODES.numberNode(parser.getLongValue());
            default -> NODES.numberNode(parser.getBigIntegerValue());
        };
    }

    /** Returns the JSON text of a tree in UTF-8. */
    public byte[] writeBytes(JsonNode tree) {
        StringWriter text = new StringWriter();
        try (JsonGenerator generator = FACTORY.createGenerator(text)) {
            write(tree, generator);
        } catch (IOException e) {
            throw new UncheckedIOException("writing to memory cannot fail", e);
        }
        return text.toString().getBytes(StandardCharsets.UTF_8);
    }

    private static void write(JsonNode node, JsonGenerator generator) throws IOException {
        if (node instanceof ObjectNode object) {
            generator.writeStartObject();
            for (Map.Entry<String, JsonNode> field : object.properties()) {
                generator.writeFieldName(field.getKey());
                write(field.getValue(), generator);
            }
            generator.writeEndObject();
        } else if (node instanceof ArrayNode array) {
            generator.writeStartArray();
            for (JsonNode element : array) {
                write(element, generator);
            }
            generator.writeEndArray();
        } else {
            writeScalar(node, generator);
        }
    }

    private static void writeScalar(JsonNode node, JsonGenerator generator) throws IOException {
        if (node.isTextual()) {
            generator.writeString(node.textValue());
        } else if (node.isBigInteger()) {
            generator.writeNumber(node.bigIntegerValue());
        } else if (node.isIntegralNumber()) {
            generator.writeNumber(node.longValue());
        } else if (node.isNumber()) {
            generator.writeNumber(node.doubleValue());
        } else if (node.isBoolean()) {
            generator.writeBoolean(node.booleanValue());
        } else {
            generator.writeNull();
        }
    }
}
