package org.trefoilledge.core;

/** Errors returned to callers, each with its HTTP status, whether the request ran, and the retry advice. */
public enum ErrorKind {
    UNKNOWN_ROUTE(404, Ran.NO, RetryAdvice.NEVER, "no route of the inventory matches the method and path"),
    BAD_REQUEST(400, Ran.NO, RetryAdvice.NEVER, "the request is malformed"),
    TOO_LARGE(413, Ran.NO, RetryAdvice.NEVER, "the body is larger than the configured bound"),
    KEY_MISSING(401, Ran.NO, RetryAdvice.NEVER, "the route needs a key"),
    KEY_UNKNOWN(401, Ran.NO, RetryAdvice.NEVER, "the key is unknown or was withdrawn"),
    KEY_UNVERIFIABLE(503, Ran.NO, RetryAdvice.LATER, "the availability zone is cut off and cannot verify keys"),
    FORBIDDEN(403, Ran.NO, RetryAdvice.NEVER, "the route is for calls between services only"),
    RATE_LIMITED(429, Ran.NO, RetryAdvice.LATER, "the organisation is over its rate"),
    OVERLOADED(503, Ran.NO, RetryAdvice.LATER, "the service is overloaded"),
    DEADLINE_EXCEEDED(504, Ran.NO, RetryAdvice.NEVER, "the deadline passed before the request could run"),
    NO_UPSTREAM(503, Ran.NO, RetryAdvice.LATER, "no upstream of the service is available"),
    DRAINING(503, Ran.NO, RetryAdvice.NOW, "the upstream is leaving and takes no new work"),
    RETRY_BUDGET_SPENT(503, Ran.NO, RetryAdvice.LATER, "the attempts for this request are used up"),
    ARBITER_UNAVAILABLE(503, Ran.NO, RetryAdvice.LATER, "the node that arbitrates this id cannot be reached"),
    ID_REUSED(422, Ran.NO, RetryAdvice.NEVER, "the id was used before with another body"),
    REPLAY_UNAVAILABLE(409, Ran.YES, RetryAdvice.NEVER, "the request ran, but its answer was too large to keep"),
    OUTCOME_UNKNOWN(502, Ran.UNKNOWN, RetryAdvice.SAME_ID, "it is not known whether the request ran"),
    UPSTREAM_FAILED(502, Ran.UNKNOWN, RetryAdvice.IDEMPOTENT_ONLY, "the upstream failed while it ran the request"),
    TOO_DEEP(508, Ran.NO, RetryAdvice.NEVER, "the chain of calls is too deep"),
    NOT_READY(503, Ran.NO, RetryAdvice.LATER, "the node has no configuration yet"),
    INTERNAL(500, Ran.UNKNOWN, RetryAdvice.IDEMPOTENT_ONLY, "the node failed");

    private final int status;
    private final Ran ran;
    private final RetryAdvice retryAdvice;
    private final String message;

    ErrorKind(int status, Ran ran, RetryAdvice retryAdvice, String message) {
        this.status = status;
        this.ran = ran;
        this.retryAdvice = retryAdvice;
        this.message = message;
    }

    /** Returns the HTTP status of the response. */
    public int status() {
        return status;
    }

    /** Returns whether the upstream may have executed the request. */
    public Ran ran() {
        return ran;
    }

    /** Returns whether and when the caller may retry the request. */
    public RetryAdvice retryAdvice() {
        return retryAdvice;
    }

    /** Returns a short sentence for the caller. */
    public String message() {
        return message;
    }
}
