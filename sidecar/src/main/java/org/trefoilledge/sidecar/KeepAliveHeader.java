package org.trefoilledge.sidecar;

import io.netty.handler.codec.http.HttpResponse;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads the idle timeout that an upstream announces in a Keep-Alive header. */
final class KeepAliveHeader {
    private static final long MILLIS_PER_SECOND = 1_000;
    private static final Pattern TIMEOUT = Pattern.compile("timeout=([0-9]{1,6})(?![0-9])");

    private KeepAliveHeader() {}

    /** Returns the timeout in milliseconds, or the maximum value if it is absent or invalid. */
    static long timeoutMillis(HttpResponse response) {
        String header = response.headers().get("Keep-Alive");
        if (header == null) {
            return Long.MAX_VALUE;
        }
        Matcher matcher = TIMEOUT.matcher(header);
        return matcher.find() ? Long.parseLong(matcher.group(1)) * MILLIS_PER_SECOND : Long.MAX_VALUE;
    }
}
