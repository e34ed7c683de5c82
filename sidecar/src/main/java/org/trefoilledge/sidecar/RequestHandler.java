package org.trefoilledge.sidecar;

import java.util.function.Consumer;
import org.trefoilledge.wire.generated.CallAnswer;

/** Serves the requests of callers. */
@FunctionalInterface
interface RequestHandler {
    /**
     * Starts to serve a request on the traffic thread.
     *
     * @param answered takes the answer, exactly once unless the request is cancelled
     * @return ends the work on the request when its caller has left
     */
    Runnable handle(CallerRequest request, Consumer<CallAnswer> answered);
}
