package org.trefoilledge.core.limit;

import java.util.List;
import org.trefoilledge.core.OrganisationId;
import org.trefoilledge.core.ZoneId;

/**
 * A loan request that a node sends to the owner of a shard.
 *
 * @param id identifies the request within one run of the node, for {@link TokenBorrower#handleGrant} and
 *     {@link TokenBorrower#handleFailure}
 * @param zone zone of the shard
 * @param wantedMicros wanted tokens in millionths; fractions of a token are possible;
 *     0 if the request only carries settlements, which needs no response
 * @param settlements earlier loans of the same organisation and shard that the borrower has finished with
 */
public record BorrowRequest(
        long id,
        OrganisationId organisation,
        ZoneId zone,
        int shard,
        long wantedMicros,
        List<LoanSettlement> settlements) {
    /** Copies the settlements. */
    public BorrowRequest {
        settlements = List.copyOf(settlements);
    }
}
