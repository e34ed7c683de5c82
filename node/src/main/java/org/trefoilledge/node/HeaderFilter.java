package org.trefoilledge.node;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.trefoilledge.core.ErrorKind;

/**
 * Removes the key and every header that must not pass a hop, so that no upstream sees them. A key that the caller
 * repeats in another header is removed with that header; a key in the URL is refused, because URLs are logged.
 */
final class HeaderFilter implements Filter {
    private static final Set<String> REMOVED = Set.of(
            "authorization",
            "proxy-authorization",
            "proxy-authenticate",
            "proxy-connection",
            "connection",
            "keep-alive",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "http2-settings",
            "expect",
            "content-length",
            "host");
    private static final String INTERNAL_PREFIX = "trefoilledge-";

    @Override
    public CompletableFuture<Answer> apply(Exchange exchange, Next next) {
        List<String> keys = keys(exchange);
        for (String key : keys) {
            if (exchange.target().contains(key)) {
                return CompletableFuture.completedFuture(
                        Answer.refused(ErrorKind.BAD_REQUEST, "the URL must not contain the key"));
            }
        }
        List<Answer.Header> passed = pass(exchange.headers());
        passed.removeIf(header -> keys.stream().anyMatch(header.value()::contains));
        exchange.headers(passed);
        return next.proceed(exchange);
    }

    /** Returns the headers that may pass to the next hop, in either direction. */
    static List<Answer.Header> pass(List<Answer.Header> headers) {
        Set<String> listed = listedByConnection(headers);
        List<Answer.Header> passed = new ArrayList<>(headers.size());
        for (Answer.Header header : headers) {
            String name = header.name().toLowerCase(Locale.ROOT);
            if (!REMOVED.contains(name) && !listed.contains(name) && !name.startsWith(INTERNAL_PREFIX)) {
                passed.add(header);
            }
        }
        return passed;
    }

    private static List<String> keys(Exchange exchange) {
        List<String> keys = new ArrayList<>(1);
        for (String value : exchange.values("Authorization")) {
            String key = value.substring(value.indexOf(' ') + 1).trim();
            if (!key.isEmpty()) {
                keys.add(key);
            }
        }
        return keys;
    }

    private static Set<String> listedByConnection(List<Answer.Header> headers) {
        Set<String> listed = new HashSet<>();
        for (Answer.Header header : headers) {
            if (header.name().equalsIgnoreCase("Connection")) {
                for (String token : header.value().split(",", -1)) {
                    listed.add(token.trim().toLowerCase(Locale.ROOT));
                }
            }
        }
        return listed;
    }
}
