package org.trefoilledge.core.idempotency;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.trefoilledge.core.ErrorKind;
import org.trefoilledge.core.RequestId;

/**
 * Claims and outcomes of the ids whose arbiter this node is. An id is started at most once until its claim is
 * released by a true "not run" or its outcome is older than the horizon. A shard is closed until it is taken over.
 *
 * <p>Thread-safe. Waiters are called without the lock, by the thread that reports the end of the request. Whoever
 * dispatches after a {@link Claim.Start} must first check its authority for the shard.
 */
public final class ArbiterTable {
    private final ArbiterSettings settings;
    private final Object lock = new Object();
    private final Map<RequestId, Entry> entries = new HashMap<>();
    private final Map<Integer, Shard> shards = new HashMap<>();
    private long bytes;
    private long tickets;

    /** Creates a table without any shard. */
    public ArbiterTable(ArbiterSettings settings) {
        this.settings = settings;
    }

    /**
     * Claims an id. The waiter is kept only if the result is {@link Claim.Join}; it then receives a
     * {@link Claim.Replay} or {@link Claim.Refuse}, unless it is withdrawn.
     *
     * @param wallMillis the wall-clock time
     */
    public Claim claim(RequestId id, int shard, String bodyDigest, long now, long wallMillis, Consumer<Claim> waiter) {
        synchronized (lock) {
            Shard open = shards.get(shard);
            if (open == null) {
                return new Claim.Refuse(ErrorKind.ARBITER_UNAVAILABLE);
            }
            Entry entry = entries.get(id);
            if (entry != null && !entry.expired(now, settings.horizonMillis())) {
                return repeat(entry, bodyDigest, waiter);
            }
            return first(id, shard, bodyDigest, now, open);
        }
    }

    private Claim repeat(Entry entry, String bodyDigest, Consumer<Claim> waiter) {
        if (!entry.bodyDigest.equals(bodyDigest)) {
            return new Claim.Refuse(ErrorKind.ID_REUSED);
        }
        if (entry.outcome != null) {
            return settled(entry.outcome);
        }
        long ticket = ++tickets;
        entry.waiters.put(ticket, waiter);
        return new Claim.Join(ticket);
    }

    private Claim first(RequestId id, int shard, String bodyDigest, long now, Shard open) {
        if (open.mayPredate(id, now, settings)) {
            return new Claim.Refuse(ErrorKind.OUTCOME_UNKNOWN);
        }
        if (entries.size() >= settings.ids() && !entries.containsKey(id)) {
            return new Claim.Refuse(ErrorKind.OVERLOADED);
        }
        forget(entries.put(id, new Entry(shard, bodyDigest)));
        return new Claim.Start();
    }

    private static Claim settled(Outcome outcome) {
        return switch (outcome.kind()) {
            case ANSWERED -> new Claim.Replay(outcome);
            case NOT_KEPT -> new Claim.Refuse(ErrorKind.REPLAY_UNAVAILABLE);
            case UNKNOWN -> new Claim.Refuse(ErrorKind.OUTCOME_UNKNOWN);
        };
    }

    /** Withdraws a waiter, for example at its deadline; false if it has been or is being called. */
    public boolean withdraw(RequestId id, long ticket) {
        synchronized (lock) {
            Entry entry = entries.get(id);
            return entry != null && entry.waiters.remove(ticket) != null;
        }
    }

    /** Records the response of a started request and gives it to the waiters, even if it is too large to keep. */
    public void finished(RequestId id, Outcome outcome, long now) {
        List<Consumer<Claim>> waiters;
        synchronized (lock) {
            Entry entry = running(id);
            if (entry == null) {
                return;
            }
            keep(entry, outcome, now);
            waiters = entry.takeWaiters();
        }
        Claim result = settled(outcome);
        waiters.forEach(waiter -> waiter.accept(result));
    }

    /** Records that nobody knows whether a started request ran. */
    public void unknown(RequestId id, long now) {
        finished(id, Outcome.unknown(), now);
    }

    /** Releases the claim of a request that certainly did not run, and refuses its waiters with the same kind. */
    public void notRun(RequestId id, ErrorKind kind) {
        List<Consumer<Claim>> waiters;
        synchronized (lock) {
            Entry entry = running(id);
            if (entry == null) {
                return;
            }
            entries.remove(id);
            waiters = entry.takeWaiters();
        }
        waiters.forEach(waiter -> waiter.accept(new Claim.Refuse(kind)));
    }

    private Entry running(RequestId id) {
        Entry entry = entries.get(id);
        return entry == null || entry.outcome != null ? null : entry;
    }

    private void keep(Entry entry, Outcome outcome, long now) {
        boolean fits = outcome.bytes() <= settings.answerBytes() && bytes + outcome.bytes() <= settings.totalBytes();
        entry.outcome = fits ? outcome : Outcome.notKept(outcome.status());
        entry.knownAt = now;
        bytes += entry.outcome.bytes();
    }

    /**
     * Opens a shard whose earlier claims this node does not know: for the horizon, ids that may be older than the
     * takeover are refused with {@code OUTCOME_UNKNOWN}, until {@link #accept} fills the gap.
     */
    public void tookOver(int shard, long now, long wallMillis) {
        synchronized (lock) {
            shards.put(shard, new Shard(now, wallMillis, true));
        }
    }

    /** Opens a shard of a zone record that this node has just created: no id can have been claimed before. */
    public void created(int shard) {
        synchronized (lock) {
            shards.put(shard, new Shard(0, 0, false));
        }
    }

    /**
     * Closes a shard and returns its table for the next owner, in which running requests count as unknown. Their
     * waiters at this node are still called when they end. Empty table with a gap if the shard is not open.
     */
    public ShardTable handOver(int shard, long now, long wallMillis) {
        synchronized (lock) {
            Shard closed = shards.remove(shard);
            List<KeptOutcome> kept = new ArrayList<>();
            if (closed == null) {
                return new ShardTable(shard, kept, Optional.of(new ShardTable.Gap(0, wallMillis)), true);
            }
            entries.forEach((id, entry) -> {
                if (entry.shard == shard && !entry.expired(now, settings.horizonMillis())) {
                    kept.add(entry.kept(id, now));
                }
            });
            return new ShardTable(shard, kept, closed.gap(now, settings), true);
        }
    }

    /** Closes a shard without a successor known to this node. Outcomes stay, because they stay true. */
    public void close(int shard) {
        synchronized (lock) {
            shards.remove(shard);
        }
    }

    /**
     * Takes a part of the predecessor's table after {@link #tookOver}. The last part fills the gap, except for ids
     * that the predecessor did not know either. Parts for a shard that is not open are ignored.
     */
    public void accept(ShardTable part, long now) {
        synchronized (lock) {
            if (!shards.containsKey(part.shard())) {
                return;
            }
            part.outcomes().forEach(kept -> add(part.shard(), kept, now));
            if (part.last()) {
                Shard opened = part.gap()
                        .map(gap -> new Shard(now - gap.ageMillis(), gap.wallMillis(), true))
                        .orElseGet(() -> new Shard(0, 0, false));
                shards.put(part.shard(), opened);
            }
        }
    }

    private void add(int shard, KeptOutcome kept, long now) {
        if (entries.containsKey(kept.id())) {
            return;
        }
        Entry entry = new Entry(shard, kept.bodyDigest());
        keep(entry, kept.outcome(), now - kept.ageMillis());
        entries.put(kept.id(), entry);
    }

    /** Forgets outcomes older than the horizon. Call it about once a second. */
    public void tick(long now) {
        synchronized (lock) {
            entries.values().removeIf(entry -> {
                boolean expired = entry.expired(now, settings.horizonMillis());
                if (expired) {
                    forget(entry);
                }
                return expired;
            });
        }
    }

    /** Returns the number of ids in the table. */
    public int size() {
        synchronized (lock) {
            return entries.size();
        }
    }

    private void forget(Entry entry) {
        if (entry != null && entry.outcome != null) {
            bytes -= entry.outcome.bytes();
        }
    }

    private static final class Entry {
        private final int shard;
        private final String bodyDigest;
        private final Map<Long, Consumer<Claim>> waiters = new HashMap<>();
        private Outcome outcome; // null while the request runs
        private long knownAt;

        Entry(int shard, String bodyDigest) {
            this.shard = shard;
            this.bodyDigest = bodyDigest;
        }

        boolean expired(long now, long horizonMillis) {
            return outcome != null && now - knownAt >= horizonMillis;
        }

        KeptOutcome kept(RequestId id, long now) {
            return outcome == null
                    ? new KeptOutcome(id, bodyDigest, Outcome.unknown(), 0)
                    : new KeptOutcome(id, bodyDigest, outcome, now - knownAt);
        }

        List<Consumer<Claim>> takeWaiters() {
            List<Consumer<Claim>> taken = new ArrayList<>(waiters.values());
            waiters.clear();
            return taken;
        }
    }

    private record Shard(long openedAt, long wallMillis, boolean gap) {
        boolean mayPredate(RequestId id, long now, ArbiterSettings settings) {
            if (!gap || now - openedAt >= settings.horizonMillis()) {
                return false;
            }
            OptionalLong created = IdHome.creationMillis(id.key());
            return created.isEmpty() || created.getAsLong() <= wallMillis + settings.clockToleranceMillis();
        }

        Optional<ShardTable.Gap> gap(long now, ArbiterSettings settings) {
            return gap && now - openedAt < settings.horizonMillis()
                    ? Optional.of(new ShardTable.Gap(now - openedAt, wallMillis))
                    : Optional.empty();
        }
    }
}
