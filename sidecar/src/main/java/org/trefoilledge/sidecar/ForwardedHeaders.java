package org.trefoilledge.sidecar;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import java.util.Locale;
import java.util.Set;

/** Decides which HTTP headers are forwarded. Hop-by-hop headers are not. */
final class ForwardedHeaders {
    private static final Set<String> HOP_BY_HOP = Set.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "expect",
            "content-length");

    /** Skips validation, for headers that the decoder has already validated on receipt. */
    static final HttpHeadersFactory WITHOUT_VALIDATION =
            DefaultHttpHeadersFactory.headersFactory().withValidation(false);

    private ForwardedHeaders() {}

    /** Returns whether a header is forwarded. Headers that the Connection header lists are not, except Host. */
    static boolean isForwarded(String name, HttpHeaders all) {
        String lower = name.toLowerCase(Locale.ROOT);
        if (HOP_BY_HOP.contains(lower)) {
            return false;
        }
        return !all.contains(HttpHeaderNames.CONNECTION)
                || !all.containsValue(HttpHeaderNames.CONNECTION, lower, true)
                || lower.equals("host");
    }
}
