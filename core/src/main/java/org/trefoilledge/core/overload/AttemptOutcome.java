package org.trefoilledge.core.overload;

/**
 * How an attempt to execute a request on a host has ended.
 *
 * @param failed whether the request has no successful response
 * @param refusal whether a sidecar generated the response, not the upstream
 * @param notRun whether it is certain that the upstream has not executed the request
 * @param reachedUpstream whether the upstream has received the request, or may have
 * @param overloaded whether the host refused the request because of overload
 * @param timedOut whether the deadline of the request passed
 * @param makesCalls whether executions of the route make calls of their own
 */
public record AttemptOutcome(
        boolean failed,
        boolean refusal,
        boolean notRun,
        boolean reachedUpstream,
        boolean overloaded,
        boolean timedOut,
        boolean makesCalls) {
    /** Returns whether the upstream has received the request and rejected it without executing it. */
    boolean isRejection() {
        return notRun && reachedUpstream;
    }
}
