package org.trefoilledge.sidecar;

/** HTTP header names for tests. The sidecar does not depend on particular names. */
final class TestHeaders {
    static final HeaderNames HEADERS = new HeaderNames(
            "X-Request",
            "X-Deadline",
            "X-Key",
            "X-Organisation",
            "X-Caller",
            "X-Expected",
            "X-Not-Run",
            "X-Signature",
            "X-Upstream",
            "X-Cold");

    private TestHeaders() {}
}
