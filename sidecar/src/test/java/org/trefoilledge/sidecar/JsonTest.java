package org.trefoilledge.sidecar;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class JsonTest {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Json JSON = new Json();

    /** Guards against values that are read or written in another way than by the library's own mapper. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "{}",
                "[]",
                "",
                "  ",
                "null",
                "\"text\"",
                "{\"a\":1,\"a\":2}",
                "{\"a\":[1,-2,3000000000,123456789012345678901234567890],\"b\":{\"c\":[{}, []]}}",
                "{\"a\":1.5,\"b\":1e3,\"c\":0.1,\"d\":true,\"e\":false,\"f\":null}",
                "{\"\u00e4 \\\" \\\\ \\n \\u0001\":\"\ud83d\ude00 \\t /\"}",
                "{\"a\":1} trailing"
            })
    void readsAndWritesAsTheMapper(String document) throws IOException {
        byte[] bytes = document.getBytes(StandardCharsets.UTF_8);
        JsonNode expected = MAPPER.readTree(bytes);

        JsonNode tree = JSON.readTree(bytes);

        assertThat(tree).isEqualTo(expected);
        if (!tree.isMissingNode()) {
            assertThat(JSON.writeBytes(tree)).isEqualTo(expected.toString().getBytes(StandardCharsets.UTF_8));
        }
    }

    /** Guards against documents that are accepted although they are cut off or malformed. */
    @ParameterizedTest
    @ValueSource(
            strings = {"{", "[1,", "{\"a\"", "{\"a\":", "{\"a\":1", "[1 2]", "{a:1}", "tru", "01", "}", "\"", "nul"})
    void refusesMalformedDocuments(String document) {
        byte[] bytes = document.getBytes(StandardCharsets.UTF_8);

        assertThatThrownBy(() -> JSON.readTree(bytes)).isInstanceOf(JsonProcessingException.class);
        assertThatThrownBy(() -> MAPPER.readTree(bytes)).isInstanceOf(JsonProcessingException.class);
    }
}
