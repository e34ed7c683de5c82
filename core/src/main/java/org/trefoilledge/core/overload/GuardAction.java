package org.trefoilledge.core.overload;

import org.trefoilledge.core.ErrorKind;

/** An action that the caller of a {@link Guard} must perform. */
public sealed interface GuardAction {
    /** Returns the ticket of the call that the action concerns. */
    long ticket();

    /** Send the call to the upstream, and call {@link Guard#finish} when it has ended. */
    record Run(long ticket) implements GuardAction {}

    /**
     * Refuse the call. It has not run, and the guard no longer tracks it.
     *
     * @param retryAfterMillis time in milliseconds that the sender should wait before a retry, with jitter
     */
    record Refuse(long ticket, ErrorKind kind, long retryAfterMillis) implements GuardAction {}
}
