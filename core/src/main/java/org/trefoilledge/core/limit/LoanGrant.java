package org.trefoilledge.core.limit;

/**
 * A shard owner's response to a loan request.
 *
 * @param grantedMicros lent tokens in millionths, which the owner has already deducted; may be 0
 * @param retryAfterMillis after which time the owner expects to have more; 0 if everything was granted
 */
public record LoanGrant(long grantedMicros, long retryAfterMillis) {
    /** Checks that neither is negative. */
    public LoanGrant {
        if (grantedMicros < 0 || retryAfterMillis < 0) {
            throw new IllegalArgumentException(
                    "a grant must not be negative, but was: " + grantedMicros + ", " + retryAfterMillis);
        }
    }
}
