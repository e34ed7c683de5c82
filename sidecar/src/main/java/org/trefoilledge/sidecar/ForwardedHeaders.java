package org.trefoilledge.sidecar;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import java.util.Locale;
import java.util.Set;

/** Tells the headers that are passed on from those that concern only one connection. */
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

    /** For headers that were checked when they were received, so that they are not checked again at each hop. */
    static final HttpHeadersFactory WITHOUT_VALIDATION =
            DefaultHttpHeadersFactory.headersFactory().withValidation(false);

    private ForwardedHeaders() {}

    /** Returns whether a header of a message with the given headers is passed on. */
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
