package org.trefoilledge.core.rate;

/**
 * The response to a request for tokens.
 *
 * @param tokens number of granted tokens, one for each request
 * @param retryAfterMillis time until the next token, 0 if all needed tokens were granted
 */
public record TokenGrant(int tokens, long retryAfterMillis) {}
