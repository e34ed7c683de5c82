package org.trefoilledge.core.overload;

/** How a call at an upstream ended. */
public enum CallEnd {
    /** The upstream completed the call. */
    COMPLETED,
    /** The upstream completed the call, which made calls of its own, so its duration depends on other upstreams. */
    COMPLETED_WITH_CALLS,
    /** The upstream failed the call, or rejected it. */
    FAILED,
    /** The sender gave up. */
    ABANDONED;

    boolean succeeded() {
        return this == COMPLETED || this == COMPLETED_WITH_CALLS;
    }
}
