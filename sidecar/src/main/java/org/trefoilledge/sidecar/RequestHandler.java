package org.trefoilledge.sidecar;

import java.util.function.Consumer;
import org.trefoilledge.wire.generated.CallAnswer;

/** Handles the requests of callers. */
@FunctionalInterface
interface RequestHandler {
    /**
     * Starts to handle a request. Called on the traffic thread.
     *
     * @param onAnswer receives the answer, exactly once unless the request is cancelled
     * @return an action that cancels the request, to be run when the caller disconnects
     */
    Runnable handle(CallerRequest request, Consumer<CallAnswer> onAnswer);

    /** Called instead of {@link #handle} if the caller has closed its connection. Called on the traffic thread. */
    default void onCallerLeft(CallerRequest request) {}
}
