package org.trefoilledge.wire;

/**
 * A request to a peer ended without a response. It has no stack trace, because a node under overload creates many of
 * these.
 */
public final class PeerException extends Exception {
    private static final long serialVersionUID = 1L;

    private final boolean maybeSent;

    /** Creates an exception; {@code sent} must be true if any byte of the request may have left this process. */
    public PeerException(String message, boolean sent) {
        super(message, null, false, false);
        this.maybeSent = sent;
    }

    /** Returns false only if it is certain that no byte of the request left this process. */
    public boolean maybeSent() {
        return maybeSent;
    }
}
