package org.trefoilledge.wire;

/** Thrown when a peer violates the protocol between nodes; the connection is closed. */
final class ProtocolException extends Exception {
    private static final long serialVersionUID = 1L;

    ProtocolException(String message) {
        super(message);
    }
}
