package org.trefoilledge.core;

/** Whether the upstream may have executed a refused or failed request. */
public enum Ran {
    NO("no"),
    YES("yes"),
    UNKNOWN("unknown");

    private final String text;

    Ran(String text) {
        this.text = text;
    }

    /** Returns the word used in responses to callers. */
    public String text() {
        return text;
    }
}
