package org.trefoilledge.wire;

/**
 * Thrown when a request to a peer ends without a response. Has no stack trace, because an overloaded node creates many
 * of these exceptions.
 */
public final class PeerException extends Exception {
    private static final long serialVersionUID = 1L;

    private final boolean maybeSent;

    /** Creates an exception; {@code maybeSent} must be true if any byte of the request may have left this process. */
    public PeerException(String message, boolean maybeSent) {
        super(message, null, false, false);
        this.maybeSent = maybeSent;
    }

    /** Returns false only if it is certain that no byte of the request left this process. */
    public boolean maybeSent() {
        return maybeSent;
    }
}
