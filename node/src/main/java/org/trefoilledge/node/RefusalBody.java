package org.trefoilledge.node;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Turns a refusal into the JSON body and headers that a caller receives. */
final class RefusalBody {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long MILLIS_PER_SECOND = 1_000;

    private RefusalBody() {}

    static byte[] bytes(Answer.Refusal refusal) {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("kind", refusal.kind().name());
        body.put("ran", refusal.kind().ran().text());
        body.put("retry", refusal.kind().retryAdvice().text());
        body.put("retryAfterMs", refusal.retryAfterMillis());
        body.put("message", message(refusal));
        try {
            return JSON.writeValueAsBytes(body);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a map of texts and numbers can always be encoded", e);
        }
    }

    static List<Answer.Header> headers(Answer.Refusal refusal) {
        List<Answer.Header> headers = new ArrayList<>();
        headers.add(new Answer.Header("Content-Type", "application/json"));
        headers.add(new Answer.Header("Trefoilledge-Kind", refusal.kind().name()));
        headers.add(new Answer.Header("Trefoilledge-Ran", refusal.kind().ran().text()));
        if (refusal.retryAfterMillis() > 0) {
            long seconds = (refusal.retryAfterMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
            headers.add(new Answer.Header("Retry-After", Long.toString(seconds)));
        }
        if (refusal.kind().status() == 401) {
            headers.add(new Answer.Header("WWW-Authenticate", "Bearer"));
        }
        return headers;
    }

    private static String message(Answer.Refusal refusal) {
        String general = refusal.kind().message();
        return refusal.reason().isEmpty() ? general : general + ": " + refusal.reason();
    }
}
