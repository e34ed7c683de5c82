package org.trefoilledge.sidecar;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.ThrowableProxyUtil;
import ch.qos.logback.core.encoder.EncoderBase;
import java.nio.charset.StandardCharsets;
import org.slf4j.event.KeyValuePair;

/**
 * Writes a log event as a JSON object in one line, with the field names of Logstash. A general encoder would load some
 * hundred classes at every start.
 */
final class JsonLogEncoder extends EncoderBase<ILoggingEvent> {
    private static final byte[] NONE = {};
    private static final int USUAL_LINE_CHARACTERS = 256;
    private static final char FIRST_PRINTABLE = ' ';

    @Override
    public byte[] headerBytes() {
        return NONE;
    }

    @Override
    public byte[] footerBytes() {
        return NONE;
    }

    @Override
    public byte[] encode(ILoggingEvent event) {
        StringBuilder line = new StringBuilder(USUAL_LINE_CHARACTERS).append('{');
        appendField(line, "@timestamp", event.getInstant().toString());
        appendField(line, "message", event.getFormattedMessage());
        appendField(line, "logger_name", event.getLoggerName());
        appendField(line, "level", event.getLevel().toString());
        if (event.getKeyValuePairs() != null) {
            for (KeyValuePair pair : event.getKeyValuePairs()) {
                if (pair.value instanceof Long || pair.value instanceof Integer) {
                    appendName(line, pair.key);
                    line.append(pair.value);
                } else {
                    appendField(line, pair.key, String.valueOf(pair.value));
                }
            }
        }
        if (event.getThrowableProxy() != null) {
            appendField(line, "stack_trace", ThrowableProxyUtil.asString(event.getThrowableProxy()));
        }
        return line.append("}\n").toString().getBytes(StandardCharsets.UTF_8);
    }

    private static void appendField(StringBuilder line, String name, String value) {
        appendName(line, name);
        appendText(line, String.valueOf(value));
    }

    private static void appendName(StringBuilder line, String name) {
        if (line.length() > 1) {
            line.append(',');
        }
        appendText(line, name);
        line.append(':');
    }

    private static void appendText(StringBuilder line, String text) {
        line.append('"');
        for (int i = 0; i < text.length(); i++) {
            appendCharacter(line, text.charAt(i));
        }
        line.append('"');
    }

    private static void appendCharacter(StringBuilder line, char character) {
        switch (character) {
            case '"' -> line.append("\\\"");
            case '\\' -> line.append("\\\\");
            case '\n' -> line.append("\\n");
            case '\r' -> line.append("\\r");
            case '\t' -> line.append("\\t");
            default -> {
                if (character < FIRST_PRINTABLE) {
                    line.append(String.format("\\u%04x", (int) character));
                } else {
                    line.append(character);
                }
            }
        }
    }
}
