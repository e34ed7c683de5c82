package org.trefoilledge.sidecar;

/** Header names for tests; the product does not depend on any particular ones. */
final class TestHeaders {
    static final HeaderNames HEADERS = new HeaderNames(
            "X-Request", "X-Deadline", "X-Key", "X-Organisation", "X-Caller", "X-Expected", "X-Not-Run", "X-Signature");

    private TestHeaders() {}
}
