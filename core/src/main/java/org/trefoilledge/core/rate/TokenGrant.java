package org.trefoilledge.core.rate;

/**
 * The answer to a request for tokens.
 *
 * @param tokens requests that may run
 * @param retryAfterMillis time until the next token, if fewer were given than needed
 */
public record TokenGrant(int tokens, long retryAfterMillis) {}
