package org.trefoilledge.core.limit;

/**
 * A borrower's statement that it will spend nothing more of a loan. It lets depth return to the owner's bucket before
 * the loan expires; if it is lost, the depth returns by time.
 *
 * @param loanId id of the request that the loan answered
 * @param unusedMicros tokens in millionths that were not spent
 */
public record LoanSettlement(long loanId, long unusedMicros) {}
