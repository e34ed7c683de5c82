package org.trefoilledge.core.limit;

/**
 * Ends a loan before it expires, so that the owner can reuse its part of the bucket's depth. If the settlement is
 * lost, the loan ends by expiry.
 *
 * @param loanId id of the request that the loan answered
 * @param unusedMicros tokens in millionths that were not spent
 */
public record LoanSettlement(long loanId, long unusedMicros) {}
