package org.trefoilledge.sidecar;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * A complete HTTP request from a caller on this host or from the local upstream.
 *
 * @param target path and query as received
 * @param body bytes of the body; not copied, must not be modified
 * @param receivedMillis time at which the last byte was read
 */
@SuppressWarnings("ArrayRecordComponent") // the body is shared without a copy and never modified
record CallerRequest(String method, String target, HttpHeaders headers, byte[] body, long receivedMillis) {
    /** Returns the target without the query. */
    String path() {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }

    /** Returns the value of a header, or an empty string if it is absent. */
    String header(String name) {
        String value = headers.get(name);
        return value == null ? "" : value;
    }
}
