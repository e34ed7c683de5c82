package org.trefoilledge.scenarios;

/**
 * One request of a caller and what became of it.
 *
 * @param id unique for each logical request; repeats have the same
 * @param order whether the request is not idempotent
 * @param status HTTP status, 0 without a response
 * @param kind error kind of a refusal, empty for an upstream's response
 * @param ran what a refusal says about the execution
 * @param body the response's body
 * @param failure why there is no response, empty if there is one
 */
record Attempt(
        String id,
        boolean order,
        String host,
        String protocol,
        long sentNanos,
        int status,
        String kind,
        String ran,
        String body,
        String failure) {
    /** Failure of a request whose connection could not be opened. */
    static final String NOT_CONNECTED = "not connected";

    boolean answered() {
        return status == 200 && kind.isEmpty();
    }

    boolean refusedAsNotRun() {
        return ran.equals("no") || failure.equals(NOT_CONNECTED);
    }

    /** Returns whether the connection broke before the response. */
    boolean interrupted() {
        return status == 0 && !failure.equals(NOT_CONNECTED);
    }
}
