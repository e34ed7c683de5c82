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
public final class LoanBook {
    /** Stands for the borrower of loans that will not be settled. */
    private static final Borrower UNKNOWN = new Borrower(new HostId("unknown"), new Incarnation(0));

    private final LimitSettings settings;
    private final Map<OrganisationId, Share> shares = new HashMap<>();
    private final Map<Integer, Long> lendsFrom = new HashMap<>();
    private long unsettled;

    /** One organisation's share at each shard that holds a part of its limit. */
    private static final class Share {
        private final Map<Integer, DelayedShare> rates = new HashMap<>();
        private final Map<Integer, DelayedShare> bursts = new HashMap<>();
        private final Map<Integer, ShardBucket> buckets = new HashMap<>();
        private long removedAt = Long.MAX_VALUE;
    }

    /** Creates an empty book. */
    public LoanBook(LimitSettings settings) {
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
                remove(share, now);
            }
        });
        shares.values().removeIf(share -> share.removedAt <= now - settings.increaseDelayMillis());
    }

    private void configure(Organisation organisation, int zones, int shardsPerZone, long now) {
        boolean known = shares.containsKey(organisation.id());
        Share share = shares.computeIfAbsent(organisation.id(), id -> new Share());
        share.removedAt = Long.MAX_VALUE;
        int count = ShareMap.count(organisation.burst(), zones, shardsPerZone);
        long rate = ShareMap.shareMicros(organisation.rate(), zones, count);
        long burst = ShareMap.shareMicros(organisation.burst(), zones, count);
        Set<Integer> holding = new HashSet<>();
        for (int shard : ShareMap.shards(organisation.id(), count, shardsPerZone)) {
            holding.add(shard);
            set(share.rates, shard, rate, known, now);
            set(share.bursts, shard, burst, known, now);
        }
        share.rates.forEach((shard, value) -> {
            if (!holding.contains(shard)) {
                value.set(0, now, settings.increaseDelayMillis());
                share.bursts.get(shard).set(0, now, settings.increaseDelayMillis());
            }
        });
    }

    private void set(Map<Integer, DelayedShare> shares, int shard, long value, boolean known, long now) {
        shares.computeIfAbsent(shard, s -> new DelayedShare(known ? 0 : value))
                .set(value, now, settings.increaseDelayMillis());
    }

    private void remove(Share share, long now) {
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
    public void own(Set<Integer> shards, long now) {
        Iterator<Integer> owned = lendsFrom.keySet().iterator();
        while (owned.hasNext()) {
            int shard = owned.next();
            if (!shards.contains(shard)) {
                owned.remove();
                shares.values().forEach(share -> share.buckets.remove(shard));
            }
        }
        shards.forEach(shard -> lendsFrom.putIfAbsent(shard, now + settings.holdMillis()));
    }

    /**
     * Takes the settlements of a request and lends tokens. The caller checks this node's authority over the shard
     * before, and sends the response after this call.
     *
     */
    public LoanGrant lend(Borrower borrower, LoanAsk ask, long now) {
        return lend(borrower, ask.id(), ask.organisation(), ask.shard(), ask.wantedMicros(), ask.settled(), now);
    }

    /** As {@link #lend(Borrower, LoanAsk, long)}, for a loan that will not be settled. */
    public LoanGrant lend(OrganisationId organisation, int shard, long wantedMicros, long now) {
        return lend(UNKNOWN, ++unsettled, organisation, shard, wantedMicros, List.of(), now);
    }

    private LoanGrant lend(
            Borrower borrower,
            long askId,
            OrganisationId organisation,
            int shard,
            long wantedMicros,
            List<LoanSettlement> settled,
            long now) {
        Share share = shares.get(organisation);
        Long from = lendsFrom.get(shard);
        if (share == null || from == null || !share.rates.containsKey(shard) || wantedMicros < 0) {
            return new LoanGrant(0, settings.holdMillis());
        }
        if (now < from) {
            return new LoanGrant(0, from - now);
        }
        ShardBucket bucket = share.buckets.computeIfAbsent(shard, s -> new ShardBucket(from));
        bucket.advance(share.rates.get(shard).at(now), share.bursts.get(shard).at(now), now);
        settled.forEach(settlement -> bucket.settle(borrower, settlement));
        return bucket.lend(borrower, askId, wantedMicros, settings.holdMillis(), now);
    }
}
