package org.trefoilledge.core.limit;

import java.util.ArrayList;
import java.util.List;
import org.trefoilledge.core.ZoneId;

/** What a borrower knows about one shard that holds a part of an organisation's limit. Not thread-safe. */
final class LoanSource {
    final ZoneId zone;
    final int shard;
    private final long rate;
    private final long burst;
    private long spare;
    private long spareAt;
    private long notBefore;
    private long askedMicros;
    private long askedAt;
    private List<LoanSettlement> settled = new ArrayList<>();
    private long settledAt;

    LoanSource(ZoneId zone, int shard, long rate, long burst, long now) {
        this.zone = zone;
        this.shard = shard;
        this.rate = rate;
        this.burst = burst;
        spare = burst;
        spareAt = now;
        notBefore = now;
    }

    /** Returns whether a request may be sent now. */
    boolean available(long now) {
        return askedMicros == 0 && now - notBefore >= 0;
    }

    /** Returns the tokens that the owner probably has, if nobody else borrowed meanwhile, in millionths. */
    long expected(long now) {
        double gained = (double) rate * Math.max(0, now - spareAt) / 1_000;
        return Math.min(burst, spare + (long) gained);
    }

    /** Notes that nothing more of the loan will be spent, for the next message to the owner. */
    void settle(long askId, long unusedMicros, long now) {
        if (settled.isEmpty()) {
            settledAt = now;
        }
        settled.add(new LoanSettlement(askId, unusedMicros));
        spare = Math.min(burst, spare + unusedMicros);
    }

    /** Returns whether settlements have waited for the given time. */
    boolean hasSettled(long waitMillis, long now) {
        return !settled.isEmpty() && now - settledAt >= waitMillis;
    }

    List<LoanSettlement> takeSettled() {
        List<LoanSettlement> taken = settled;
        settled = new ArrayList<>();
        return taken;
    }

    void asked(long wanted, long now) {
        askedMicros = wanted;
        askedAt = now;
    }

    /** Returns what a request that was sent within the given time will probably bring. */
    long underWay(long withinMillis, long now) {
        return now - askedAt < withinMillis ? askedMicros : 0;
    }

    boolean waitsForAnswer() {
        return askedMicros > 0;
    }

    void answered(long wanted, LoanGrant grant, long now) {
        askedMicros = 0;
        if (grant.grantedMicros() < wanted) {
            spare = 0;
            notBefore = now + grant.retryAfterMillis();
        } else {
            spare = Math.max(0, expected(now) - wanted);
        }
        spareAt = now;
    }

    void failed(long retryAfterMillis, long now) {
        askedMicros = 0;
        spare = 0;
        spareAt = now;
        notBefore = now + retryAfterMillis;
    }

    boolean sameAs(LoanSource other) {
        return zone.equals(other.zone) && shard == other.shard && rate == other.rate && burst == other.burst;
    }
}
