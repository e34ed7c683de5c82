package org.trefoilledge.sidecar;

import java.util.Optional;
import org.trefoilledge.wire.generated.CallAnswer;

/** A check of a request before it is dispatched. */
@FunctionalInterface
interface RequestFilter {
    /** Returns a refusal, or empty if the request passes. Adds the data that it looked up to the context. */
    Optional<CallAnswer> check(RequestContext context);
}
