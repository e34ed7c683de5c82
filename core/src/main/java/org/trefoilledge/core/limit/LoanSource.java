package org.trefoilledge.core.limit;

import java.util.ArrayList;
import java.util.List;
import org.trefoilledge.core.ZoneId;

/** A borrower's view of one shard that holds a part of an organisation's limit. Not thread-safe. */
final class LoanSource {
    /**
     * Short, because a single failure is usually a lost or slow message; only repeated ones mean that the owner is gone.
     */
    private static final long INITIAL_BACKOFF_MILLIS = 20;

    private static final long MAX_BACKOFF_MILLIS = 1_000;

    final ZoneId zone;
    final int shard;
    private final long rate;
    private final long burst;
    private long estimatedMicros;
    private long estimatedAt;
    private long nextRequestAt;
    private long requestedMicros;
    private long requestedAt;
    private List<LoanSettlement> pendingSettlements = new ArrayList<>();
    private long firstSettlementAt;
    private long backoffMillis = INITIAL_BACKOFF_MILLIS;

    LoanSource(ZoneId zone, int shard, long rate, long burst, long now) {
        this.zone = zone;
        this.shard = shard;
        this.rate = rate;
        this.burst = burst;
        estimatedMicros = burst;
        estimatedAt = now;
        nextRequestAt = now;
    }

    /** Returns whether a request may be sent now. */
    boolean available(long now) {
        return requestedMicros == 0 && now - nextRequestAt >= 0;
    }

    /** Returns the tokens that the owner probably has, if nobody else borrowed meanwhile, in millionths. */
    long expectedMicros(long now) {
        double gained = (double) rate * Math.max(0, now - estimatedAt) / 1_000;
        return Math.min(burst, estimatedMicros + (long) gained);
    }

    /** Queues a settlement for the next message to the owner. */
    void addSettlement(long loanId, long unusedMicros, long now) {
        if (pendingSettlements.isEmpty()) {
            firstSettlementAt = now;
        }
        pendingSettlements.add(new LoanSettlement(loanId, unusedMicros));
        estimatedMicros = Math.min(burst, estimatedMicros + unusedMicros);
    }

    /** Returns whether settlements have waited for the given time. */
    boolean hasSettlementsFor(long waitMillis, long now) {
        return !pendingSettlements.isEmpty() && now - firstSettlementAt >= waitMillis;
    }

    List<LoanSettlement> drainSettlements() {
        List<LoanSettlement> taken = pendingSettlements;
        pendingSettlements = new ArrayList<>();
        return taken;
    }

    void recordRequest(long wanted, long now) {
        requestedMicros = wanted;
        requestedAt = now;
    }

    /** Returns the micros requested by a pending request that was sent within the given time, else 0. */
    long inFlightMicros(long withinMillis, long now) {
        return now - requestedAt < withinMillis ? requestedMicros : 0;
    }

    boolean awaitsResponse() {
        return requestedMicros > 0;
    }

    void handleGrant(long wanted, LoanGrant grant, long now) {
        requestedMicros = 0;
        backoffMillis = INITIAL_BACKOFF_MILLIS;
        if (grant.grantedMicros() < wanted) {
            estimatedMicros = 0;
            nextRequestAt = now + grant.retryAfterMillis();
        } else {
            estimatedMicros = Math.max(0, expectedMicros(now) - wanted);
        }
        estimatedAt = now;
    }

    /** Delays the next request by a backoff that doubles with each consecutive failure. */
    void handleFailure(long now) {
        requestedMicros = 0;
        estimatedMicros = 0;
        estimatedAt = now;
        nextRequestAt = now + backoffMillis;
        backoffMillis = Math.min(MAX_BACKOFF_MILLIS, 2 * backoffMillis);
    }

    boolean hasSameShare(LoanSource other) {
        return zone.equals(other.zone) && shard == other.shard && rate == other.rate && burst == other.burst;
    }
}
