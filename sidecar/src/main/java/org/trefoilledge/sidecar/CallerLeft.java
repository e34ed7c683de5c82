package org.trefoilledge.sidecar;

/** Stage that a request had reached when its caller was found to have left. */
enum CallerLeft {
    /** Read together with the close of its connection, and not handled. */
    UNREAD("unread"),
    WAITING_FOR_TOKEN("token"),
    /** In the queue of a gate, on the way to an upstream or executed by it. */
    DISPATCHED("dispatched");

    private final String label;

    CallerLeft(String label) {
        this.label = label;
    }

    /** Returns the name in logs and metrics. */
    String label() {
        return label;
    }
}
