package org.trefoilledge.sidecar;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * A request that a caller on this host, or the upstream itself, has sent completely.
 *
 * @param target path with query, unchanged
 * @param receivedMillis when the last byte was read
 */
@SuppressWarnings("ArrayRecordComponent") // the bytes are shared, not copied, and never changed
record CallerRequest(String method, String target, HttpHeaders headers, byte[] body, long receivedMillis) {
    String path() {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }

    /** Returns the value of a header, or an empty text. */
    String header(String name) {
        String value = headers.get(name);
        return value == null ? "" : value;
    }
}
