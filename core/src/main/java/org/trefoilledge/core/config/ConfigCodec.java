package org.trefoilledge.core.config;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.deser.std.StdDeserializer;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.ser.std.StdSerializer;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.function.Function;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.OrganisationId;
import org.trefoilledge.core.RouteId;
import org.trefoilledge.core.ServiceId;
import org.trefoilledge.core.ZoneId;

/** Encodes log entries and other configuration values as JSON, and computes the digests that chain the log. */
public final class ConfigCodec {
    private static final ObjectMapper MAPPER = createMapper();

    private ConfigCodec() {}

    /** Returns the JSON mapper, which writes ids as plain strings and rejects unknown fields. */
    public static ObjectMapper json() {
        return MAPPER;
    }

    /** Encodes an entry. */
    public static byte[] encode(LogEntry entry) {
        try {
            return MAPPER.writeValueAsBytes(entry);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("failed to encode a log entry", e);
        }
    }

    /**
     * Decodes an entry.
     *
     * @throws ConfigException if the bytes are not a valid entry
     */
    public static LogEntry decode(byte[] bytes) throws ConfigException {
        try {
            return MAPPER.readValue(bytes, LogEntry.class);
        } catch (IOException | IllegalArgumentException e) {
            throw new ConfigException("cannot decode a log entry: " + e.getMessage(), e);
        }
    }

    /** Returns the SHA-256 digest of an encoded entry, in hexadecimal. */
    public static String digest(byte[] encoded) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(encoded));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available", e);
        }
    }

    /** Returns the SHA-256 digest of a text in UTF-8, in hexadecimal. */
    public static String digest(String text) {
        return digest(text.getBytes(StandardCharsets.UTF_8));
    }

    private static ObjectMapper createMapper() {
        SimpleModule ids = new SimpleModule("trefoilledge-ids");
        registerId(ids, HostId.class, HostId::new, HostId::value);
        registerId(ids, ZoneId.class, ZoneId::new, ZoneId::value);
        registerId(ids, OrganisationId.class, OrganisationId::new, OrganisationId::value);
        registerId(ids, ServiceId.class, ServiceId::new, ServiceId::value);
        registerId(ids, RouteId.class, RouteId::new, RouteId::value);
        registerId(ids, KeyDigest.class, KeyDigest::new, KeyDigest::hex);
        return JsonMapper.builder()
                .addModule(ids)
                .enable(MapperFeature.SORT_PROPERTIES_ALPHABETICALLY)
                .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                .build();
    }

    private static <T> void registerId(
            SimpleModule module, Class<T> type, Function<String, T> parse, Function<T, String> print) {
        module.addSerializer(type, new StdSerializer<T>(type) {
            @Override
            public void serialize(T value, JsonGenerator out, SerializerProvider provider) throws IOException {
                out.writeString(print.apply(value));
            }
        });
        module.addDeserializer(type, new StdDeserializer<T>(type) {
            @Override
            public T deserialize(JsonParser in, DeserializationContext context) throws IOException {
                return parse.apply(in.getValueAsString());
            }
        });
    }
}
