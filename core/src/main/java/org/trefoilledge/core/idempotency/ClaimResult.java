package org.trefoilledge.core.idempotency;

import org.trefoilledge.core.ErrorKind;

/** The arbiter's decision about a request with an id. */
public sealed interface ClaimResult {
    /** The id is new and now claimed: the caller must dispatch the request once and report how it ended. */
    record Start() implements ClaimResult {}

    /**
     * Another request with this id is running: the waiter passed to the claim is called exactly once when it ends.
     *
     * @param ticket for {@link ArbiterTable#withdraw}
     */
    record Join(long ticket) implements ClaimResult {}

    /** The request has run: this is its response. */
    record Replay(Outcome outcome) implements ClaimResult {}

    /** The request is refused. */
    record Refuse(ErrorKind kind) implements ClaimResult {}
}
