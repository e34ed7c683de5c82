package org.trefoilledge.standin;

/** A call that a stand-in answers with an error of the protocol that it stands in for. */
final class StandinException extends Exception {
    private static final long serialVersionUID = 1L;

    private final int httpStatus;
    private final int grpcCode;

    StandinException(int status, int code, String message) {
        super(message);
        this.httpStatus = status;
        this.grpcCode = code;
    }

    /** Returns the HTTP status. */
    int httpStatus() {
        return httpStatus;
    }

    /** Returns the gRPC code, 0 where there is none. */
    int grpcCode() {
        return grpcCode;
    }
}
