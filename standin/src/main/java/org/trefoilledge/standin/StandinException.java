package org.trefoilledge.standin;

/** A call that a stand-in answers with an error of the protocol that it stands in for. */
final class StandinException extends Exception {
    private static final long serialVersionUID = 1L;

    private final int status;
    private final int code;

    StandinException(int status, int code, String message) {
        super(message);
        this.status = status;
        this.code = code;
    }

    /** Returns the HTTP status. */
    int status() {
        return status;
    }

    /** Returns the gRPC code, 0 where there is none. */
    int code() {
        return code;
    }
}
