package org.trefoilledge.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.LoggingEvent;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.slf4j.event.KeyValuePair;

class JsonLogEncoderTest {
    /** Guards against lines that a JSON parser rejects, or that break into two. */
    @Test
    void anyTextIsWrittenAsOneLineOfJson() throws Exception {
        String text = "quote \" backslash \\ line\nreturn\r tab\t control \u0001 umlaut \u00e4 pair \ud83d\ude00";

        String line = encode(event(text, null));

        assertThat(line).endsWith("}\n").containsOnlyOnce("\n");
        assertThat(new ObjectMapper().readTree(line).path("message").asText()).isEqualTo(text);
    }

    /** Guards against fields that log collectors look for and that are missing or renamed. */
    @Test
    void fieldsHaveTheNamesOfLogstash() throws Exception {
        LoggingEvent event = event("routed to {}", new IllegalStateException("broken"), "host-1");
        event.setKeyValuePairs(List.of(new KeyValuePair("zone", "z1"), new KeyValuePair("tookMs", 12L)));

        JsonNode line = new ObjectMapper().readTree(encode(event));

        assertThat(line.fieldNames())
                .toIterable()
                .containsExactly("@timestamp", "message", "logger_name", "level", "zone", "tookMs", "stack_trace");
        assertThat(line.path("@timestamp").asText())
                .isEqualTo(event.getInstant().toString());
        assertThat(line.path("message").asText()).isEqualTo("routed to host-1");
        assertThat(line.path("logger_name").asText()).isEqualTo("placement");
        assertThat(line.path("level").asText()).isEqualTo("WARN");
        assertThat(line.path("zone").asText()).isEqualTo("z1");
        assertThat(line.path("tookMs").isNumber()).isTrue();
        assertThat(line.path("stack_trace").asText()).contains("broken", "JsonLogEncoderTest");
    }

    private static LoggingEvent event(String message, Throwable error, Object... arguments) {
        return new LoggingEvent("", new LoggerContext().getLogger("placement"), Level.WARN, message, error, arguments);
    }

    private static String encode(LoggingEvent event) {
        return new String(new JsonLogEncoder().encode(event), StandardCharsets.UTF_8);
    }
}
