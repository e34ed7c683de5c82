package org.trefoilledge.core.limit;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.Incarnation;
import org.trefoilledge.core.OrganisationId;
import org.trefoilledge.core.config.Organisation;

/**
 * The shares of limits that this node holds as owner of shards, and the loans that it grants from them. Not
 * thread-safe. Amounts are tokens in millionths, times are milliseconds.
 */
public final class TokenLender {
    /** Borrower recorded for loans that will not be settled. */
    private static final BorrowerId UNIDENTIFIED_BORROWER = new BorrowerId(new HostId("unknown"), new Incarnation(0));

    private final LimitSettings settings;
    private final Map<OrganisationId, OrganisationShares> shares = new HashMap<>();
    private final Map<Integer, Long> lendingStartTimes = new HashMap<>();
    private long lastUnsettledLoanId;

    /** One organisation's share at each shard that holds a part of its limit. */
    private static final class OrganisationShares {
        private final Map<Integer, DelayedShare> rates = new HashMap<>();
        private final Map<Integer, DelayedShare> bursts = new HashMap<>();
        private final Map<Integer, ShardBucket> buckets = new HashMap<>();
        private long removedAt = Long.MAX_VALUE;
    }

    /** Creates a lender without shares. */
    public TokenLender(LimitSettings settings) {
        this.settings = settings;
    }

    /**
     * Sets the limits in force. An increased share takes effect after the configured delay; a reduced one and the shares
     * of an organisation that this node has not seen before take effect at once.
     */
    public void configure(Collection<Organisation> organisations, int zones, int shardsPerZone, long now) {
        Map<OrganisationId, Organisation> configured = new HashMap<>();
        organisations.forEach(organisation -> configured.put(organisation.id(), organisation));
        for (Organisation organisation : organisations) {
            configure(organisation, zones, shardsPerZone, now);
        }
        shares.forEach((id, share) -> {
            if (!configured.containsKey(id)) {
                removeShare(share, now);
            }
        });
        shares.values().removeIf(share -> share.removedAt <= now - settings.increaseDelayMillis());
    }

    private void configure(Organisation organisation, int zones, int shardsPerZone, long now) {
        boolean known = shares.containsKey(organisation.id());
        OrganisationShares share = shares.computeIfAbsent(organisation.id(), id -> new OrganisationShares());
        share.removedAt = Long.MAX_VALUE;
        int count = LimitShares.shardCount(organisation.burst(), zones, shardsPerZone);
        long rate = LimitShares.shareMicros(organisation.rate(), zones, count);
        long burst = LimitShares.shareMicros(organisation.burst(), zones, count);
        Set<Integer> holding = new HashSet<>();
        for (int shard : LimitShares.shards(organisation.id(), count, shardsPerZone)) {
            holding.add(shard);
            setShare(share.rates, shard, rate, known, now);
            setShare(share.bursts, shard, burst, known, now);
        }
        share.rates.forEach((shard, value) -> {
            if (!holding.contains(shard)) {
                value.set(0, now, settings.increaseDelayMillis());
                share.bursts.get(shard).set(0, now, settings.increaseDelayMillis());
            }
        });
    }

    private void setShare(Map<Integer, DelayedShare> shares, int shard, long value, boolean known, long now) {
        shares.computeIfAbsent(shard, s -> new DelayedShare(known ? 0 : value))
                .set(value, now, settings.increaseDelayMillis());
    }

    private void removeShare(OrganisationShares share, long now) {
        if (share.removedAt == Long.MAX_VALUE) {
            share.removedAt = now;
        }
        share.rates.values().forEach(value -> value.set(0, now, settings.increaseDelayMillis()));
        share.bursts.values().forEach(value -> value.set(0, now, settings.increaseDelayMillis()));
    }

    /**
     * Sets the shards that this node may act for. The buckets of a shard that was not in the previous set start empty and
     * begin to fill when the loans of a previous owner have expired; until then the shard lends nothing.
     */
    public void setOwnedShards(Set<Integer> shards, long now) {
        Iterator<Integer> owned = lendingStartTimes.keySet().iterator();
        while (owned.hasNext()) {
            int shard = owned.next();
            if (!shards.contains(shard)) {
                owned.remove();
                shares.values().forEach(share -> share.buckets.remove(shard));
            }
        }
        shards.forEach(shard -> lendingStartTimes.putIfAbsent(shard, now + settings.holdMillis()));
    }

    /**
     * Applies the settlements of a request and lends tokens. The caller checks this node's authority over the shard
     * before, and sends the response after this call.
     */
    public LoanGrant lend(BorrowerId borrower, BorrowRequest request, long now) {
        return lend(
                borrower,
                request.id(),
                request.organisation(),
                request.shard(),
                request.wantedMicros(),
                request.settlements(),
                now);
    }

    /** As {@link #lend(BorrowerId, BorrowRequest, long)}, for a loan that will not be settled. */
    public LoanGrant lend(OrganisationId organisation, int shard, long wantedMicros, long now) {
        return lend(UNIDENTIFIED_BORROWER, ++lastUnsettledLoanId, organisation, shard, wantedMicros, List.of(), now);
    }

    private LoanGrant lend(
            BorrowerId borrower,
            long loanId,
            OrganisationId organisation,
            int shard,
            long wantedMicros,
            List<LoanSettlement> settlements,
            long now) {
        OrganisationShares share = shares.get(organisation);
        Long from = lendingStartTimes.get(shard);
        if (share == null || from == null || !share.rates.containsKey(shard) || wantedMicros < 0) {
            return new LoanGrant(0, settings.holdMillis());
        }
        if (now < from) {
            return new LoanGrant(0, from - now);
        }
        ShardBucket bucket = share.buckets.computeIfAbsent(shard, s -> new ShardBucket(from));
        bucket.advance(
                share.rates.get(shard).valueAt(now), share.bursts.get(shard).valueAt(now), now);
        settlements.forEach(settlement -> bucket.settle(borrower, settlement));
        return bucket.lend(borrower, loanId, wantedMicros, settings.holdMillis(), now);
    }
}
