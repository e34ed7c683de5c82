package org.trefoilledge.standin;

/** A failed call, with the HTTP status and gRPC code of the error response. */
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

    /** Returns the gRPC status code, or 0 if the call has none. */
    int grpcCode() {
        return grpcCode;
    }
}
