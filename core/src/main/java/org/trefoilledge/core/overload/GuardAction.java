package org.trefoilledge.core.overload;

import org.trefoilledge.core.ErrorKind;

/** What the caller of a {@link Guard} must do next. */
public sealed interface GuardAction {
    /** Returns the ticket of the call that the action concerns. */
    long ticket();

    /** Hand the call to the upstream and report its end with {@link Guard#finish}. */
    record Run(long ticket) implements GuardAction {}

    /**
     * Refuse the call. It has not run and the guard has forgotten it.
     *
     * @param retryAfterMillis time that the sender should wait before another attempt, with jitter
     */
    record Refuse(long ticket, ErrorKind kind, long retryAfterMillis) implements GuardAction {}
}
