package org.trefoilledge.load;

import java.util.Locale;
import java.util.Optional;
import org.trefoilledge.core.ErrorKind;

/**
 * How one attempt ended.
 *
 * @param refusal the error kind that a node stated, if any
 * @param status HTTP status, 0 if no response came
 * @param retryAfterMillis delay that the refusal asked for, 0 if none
 */
record AttemptResult(Outcome outcome, Optional<ErrorKind> refusal, int status, long retryAfterMillis) {
    static final AttemptResult WHOLE = new AttemptResult(Outcome.WHOLE, Optional.empty(), 200, 0);
    static final AttemptResult TIMEOUT = of(Outcome.TIMEOUT, 0);
    static final AttemptResult CONNECTION = of(Outcome.CONNECTION, 0);
    static final AttemptResult NOT_SENT = of(Outcome.NOT_SENT, 0);

    /** The classes of results. */
    enum Outcome {
        /** Status 2xx and the complete body with the expected echo. */
        WHOLE,
        /** Status 2xx, but the body is not the expected one. */
        WRONG_BODY,
        /** A refusal of a node with its error kind. */
        REFUSED,
        /** Another status. */
        STATUS,
        /** No response within the deadline. */
        TIMEOUT,
        /** The connection failed or ended early. */
        CONNECTION,
        /** The tool had too many attempts waiting. */
        NOT_SENT
    }

    static AttemptResult of(Outcome outcome, int status) {
        return new AttemptResult(outcome, Optional.empty(), status, 0);
    }

    static AttemptResult refused(ErrorKind kind, int status, long retryAfterMillis) {
        return new AttemptResult(Outcome.REFUSED, Optional.of(kind), status, retryAfterMillis);
    }

    boolean whole() {
        return outcome == Outcome.WHOLE;
    }

    boolean is(ErrorKind kind) {
        return refusal.isPresent() && refusal.get() == kind;
    }

    /** Returns the name under which reports count the result. */
    String label() {
        if (refusal.isPresent()) {
            return refusal.get().name();
        }
        return outcome == Outcome.STATUS ? "status-" + status : outcome.name().toLowerCase(Locale.ROOT);
    }
}
