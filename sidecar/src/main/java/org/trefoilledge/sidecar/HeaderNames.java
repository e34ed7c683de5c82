package org.trefoilledge.sidecar;

/**
 * Names of the HTTP headers that the sidecar reads or sets. The platform adapter supplies them.
 *
 * @param requestId id of one attempt of a caller; upstreams echo it
 * @param deadlineMillis time for which the sender waits, in milliseconds
 * @param key key of the caller; never sent to an upstream
 * @param organisation organisation that the key of the request belongs to
 * @param callerService service of the host on which the request entered
 * @param expectedUpstream id of the upstream that the request is meant for; any other upstream refuses it
 * @param notExecuted present in the response of an upstream that has not executed the request
 * @param signature marks genuine responses of an upstream; required on successful responses
 * @param upstreamId id of the upstream that responds to a health probe
 * @param coldMillis time for which that upstream is still cold, in milliseconds; absent if it is warm
 */
public record HeaderNames(
        String requestId,
        String deadlineMillis,
        String key,
        String organisation,
        String callerService,
        String expectedUpstream,
        String notExecuted,
        String signature,
        String upstreamId,
        String coldMillis) {}
