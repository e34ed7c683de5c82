package org.trefoilledge.core;

/** Whether and when a caller may retry a refused or failed request. */
public enum RetryAdvice {
    NEVER("never"),
    NOW("now"),
    LATER("later"),
    SAME_ID("same-id"),
    IDEMPOTENT_ONLY("idempotent-only");

    private final String text;

    RetryAdvice(String text) {
        this.text = text;
    }

    /** Returns the word used in responses to callers. */
    public String text() {
        return text;
    }
}
