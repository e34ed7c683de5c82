package org.trefoilledge.core;

/** What a caller may do after a refusal. */
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

    /** Returns the word used in answers to callers. */
    public String text() {
        return text;
    }
}
