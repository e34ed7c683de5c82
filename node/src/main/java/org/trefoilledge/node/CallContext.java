package org.trefoilledge.node;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.trefoilledge.core.Importance;
import org.trefoilledge.core.OrganisationId;
import org.trefoilledge.core.config.KeyDigest;

/**
 * A call that the local upstream is executing. The upstream's own calls present its token and inherit from it.
 *
 * @param budget extra attempts left for the calls below; child calls take from it and give back what they did not use
 * @param admissionLevel highest admission level that the calls below met
 */
record CallContext(
        String token,
        OrganisationId organisation,
        Optional<KeyDigest> key,
        Importance importance,
        int rootHash,
        int depth,
        long deadlineMillis,
        AtomicInteger budget,
        AtomicInteger admissionLevel) {}
