package org.trefoilledge.sidecar;

import java.util.Optional;
import org.trefoilledge.wire.generated.CallAnswer;

/** One step before a request is placed. It refuses the request, or fills in what it found out and lets it pass. */
@FunctionalInterface
interface RequestFilter {
    Optional<CallAnswer> check(RequestContext entry);
}
