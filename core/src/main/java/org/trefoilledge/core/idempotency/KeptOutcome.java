package org.trefoilledge.core.idempotency;

import org.trefoilledge.core.RequestId;

/**
 * The outcome of an id as it is handed to the next owner of its shard.
 *
 * @param ageMillis time since the outcome was known, so that the repeat horizon does not start again
 */
public record KeptOutcome(RequestId id, String bodyDigest, Outcome outcome, long ageMillis) {}
