package org.trefoilledge.sidecar;

/**
 * The names of the HTTP headers that the sidecar reads or sets. The platform's adapter supplies them.
 *
 * @param requestId names one attempt of a caller; upstreams echo it
 * @param deadlineMillis time for which the sender waits, in milliseconds
 * @param key the caller's key; never sent to an upstream
 * @param organisation tells an upstream whose key came with a request
 * @param callerService tells an upstream on which service's host a request started
 * @param expectedUpstream tells an upstream which one is meant; another one refuses
 * @param notExecuted marks the answer of an upstream that has not run the request
 * @param signature mark of an upstream's genuine answer
 */
public record HeaderNames(
        String requestId,
        String deadlineMillis,
        String key,
        String organisation,
        String callerService,
        String expectedUpstream,
        String notExecuted,
        String signature) {}
