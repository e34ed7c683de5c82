package org.trefoilledge.wire;

/** A peer sent something that the protocol between nodes does not allow; its connection is closed. */
final class ProtocolException extends Exception {
    private static final long serialVersionUID = 1L;

    ProtocolException(String message) {
        super(message);
    }
}
