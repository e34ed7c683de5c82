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
 * released because the request did not run, or its outcome is older than the horizon. A shard is closed until it
 * is taken over.
 *
 * <p>Thread-safe. Waiters are called without the lock, by the thread that reports the end of the request. Whoever
 * dispatches after a {@link ClaimResult.Start} must first check its authority for the shard.
 */
public final class ArbiterTable {
    private final ArbiterSettings settings;
    private final Object lock = new Object();
    private final Map<RequestId, Entry> entries = new HashMap<>();
    private final Map<Integer, Shard> shards = new HashMap<>();
    private long bytes;
    private long lastTicket;

    /** Creates a table without any shard. */
    public ArbiterTable(ArbiterSettings settings) {
        this.settings = settings;
    }

    /**
     * Claims an id. The waiter is kept only if the result is {@link ClaimResult.Join}; it then receives a
     * {@link ClaimResult.Replay} or {@link ClaimResult.Refuse}, unless it is withdrawn.
     *
     * @param wallMillis the wall-clock time
     */
    public ClaimResult claim(
            RequestId id, int shard, String bodyDigest, long now, long wallMillis, Consumer<ClaimResult> waiter) {
        synchronized (lock) {
            Shard open = shards.get(shard);
            if (open == null) {
                return new ClaimResult.Refuse(ErrorKind.ARBITER_UNAVAILABLE);
            }
            Entry entry = entries.get(id);
            if (entry != null && !entry.expired(now, settings.horizonMillis())) {
                return joinOrReplay(entry, bodyDigest, waiter);
            }
            return startClaim(id, shard, bodyDigest, now, open);
        }
    }

    private ClaimResult joinOrReplay(Entry entry, String bodyDigest, Consumer<ClaimResult> waiter) {
        if (!entry.bodyDigest.equals(bodyDigest)) {
            return new ClaimResult.Refuse(ErrorKind.ID_REUSED);
        }
        if (entry.outcome != null) {
            return resultOf(entry.outcome);
        }
        long ticket = ++lastTicket;
        entry.waiters.put(ticket, waiter);
        return new ClaimResult.Join(ticket);
    }

    private ClaimResult startClaim(RequestId id, int shard, String bodyDigest, long now, Shard open) {
        if (open.mayPredate(id, now, settings)) {
            return new ClaimResult.Refuse(ErrorKind.OUTCOME_UNKNOWN);
        }
        if (entries.size() >= settings.ids() && !entries.containsKey(id)) {
            return new ClaimResult.Refuse(ErrorKind.OVERLOADED);
        }
        subtractBytes(entries.put(id, new Entry(shard, bodyDigest)));
        return new ClaimResult.Start();
    }

    private static ClaimResult resultOf(Outcome outcome) {
        return switch (outcome.kind()) {
            case ANSWERED -> new ClaimResult.Replay(outcome);
            case NOT_KEPT -> new ClaimResult.Refuse(ErrorKind.REPLAY_UNAVAILABLE);
            case UNKNOWN -> new ClaimResult.Refuse(ErrorKind.OUTCOME_UNKNOWN);
        };
    }

    /** Removes a waiter, for example at its deadline. Returns false if it has been or is being called. */
    public boolean withdraw(RequestId id, long ticket) {
        synchronized (lock) {
            Entry entry = entries.get(id);
            return entry != null && entry.waiters.remove(ticket) != null;
        }
    }

    /** Records the response of a started request and passes it to the waiters, even if it is too large to keep. */
    public void complete(RequestId id, Outcome outcome, long now) {
        List<Consumer<ClaimResult>> waiters;
        synchronized (lock) {
            Entry entry = runningEntry(id);
            if (entry == null) {
                return;
            }
            storeOutcome(entry, outcome, now);
            waiters = entry.drainWaiters();
        }
        ClaimResult result = resultOf(outcome);
        waiters.forEach(waiter -> waiter.accept(result));
    }

    /** Completes a started request of which it is unknown whether it ran. */
    public void completeUnknown(RequestId id, long now) {
        complete(id, Outcome.unknown(), now);
    }

    /** Releases the claim of a request that certainly did not run, and refuses its waiters with the same kind. */
    public void release(RequestId id, ErrorKind kind) {
        List<Consumer<ClaimResult>> waiters;
        synchronized (lock) {
            Entry entry = runningEntry(id);
            if (entry == null) {
                return;
            }
            entries.remove(id);
            waiters = entry.drainWaiters();
        }
        waiters.forEach(waiter -> waiter.accept(new ClaimResult.Refuse(kind)));
    }

    private Entry runningEntry(RequestId id) {
        Entry entry = entries.get(id);
        return entry == null || entry.outcome != null ? null : entry;
    }

    private void storeOutcome(Entry entry, Outcome outcome, long now) {
        boolean fits = outcome.bytes() <= settings.answerBytes() && bytes + outcome.bytes() <= settings.totalBytes();
        entry.outcome = fits ? outcome : Outcome.notKept(outcome.status());
        entry.completedAt = now;
        bytes += entry.outcome.bytes();
    }

    /**
     * Opens a shard whose earlier claims this node does not know: for the horizon, ids that may be older than the
     * takeover are refused with {@code OUTCOME_UNKNOWN}, until {@link #importPart} fills the gap.
     */
    public void openAfterTakeover(int shard, long now, long wallMillis) {
        synchronized (lock) {
            shards.put(shard, new Shard(now, wallMillis, true));
        }
    }

    /** Opens a shard of a zone record that this node has just created: no id can have been claimed before. */
    public void openNew(int shard) {
        synchronized (lock) {
            shards.put(shard, new Shard(0, 0, false));
        }
    }

    /**
     * Closes a shard and returns its table for the next owner, in which running requests count as unknown. Their
     * waiters at this node are still called when they end. Returns an empty table with a gap if the shard is not open.
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
                    kept.add(entry.toKeptOutcome(id, now));
                }
            });
            return new ShardTable(shard, kept, closed.gap(now, settings), true);
        }
    }

    /** Closes a shard without a successor known to this node. Outcomes are kept, because they remain valid. */
    public void close(int shard) {
        synchronized (lock) {
            shards.remove(shard);
        }
    }

    /**
     * Imports a part of the predecessor's table after {@link #openAfterTakeover}. The last part fills the gap, except for
     * ids that the predecessor did not know either. Parts for a shard that is not open are ignored.
     */
    public void importPart(ShardTable part, long now) {
        synchronized (lock) {
            if (!shards.containsKey(part.shard())) {
                return;
            }
            part.outcomes().forEach(kept -> importOutcome(part.shard(), kept, now));
            if (part.last()) {
                Shard opened = part.gap()
                        .map(gap -> new Shard(now - gap.ageMillis(), gap.wallMillis(), true))
                        .orElseGet(() -> new Shard(0, 0, false));
                shards.put(part.shard(), opened);
            }
        }
    }

    private void importOutcome(int shard, KeptOutcome kept, long now) {
        if (entries.containsKey(kept.id())) {
            return;
        }
        Entry entry = new Entry(shard, kept.bodyDigest());
        storeOutcome(entry, kept.outcome(), now - kept.ageMillis());
        entries.put(kept.id(), entry);
    }

    /** Removes outcomes older than the horizon. Call it about once a second. */
    public void tick(long now) {
        synchronized (lock) {
            entries.values().removeIf(entry -> {
                boolean expired = entry.expired(now, settings.horizonMillis());
                if (expired) {
                    subtractBytes(entry);
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

    private void subtractBytes(Entry entry) {
        if (entry != null && entry.outcome != null) {
            bytes -= entry.outcome.bytes();
        }
    }

    private static final class Entry {
        private final int shard;
        private final String bodyDigest;
        private final Map<Long, Consumer<ClaimResult>> waiters = new HashMap<>();
        private Outcome outcome; // null while the request runs
        private long completedAt;

        Entry(int shard, String bodyDigest) {
            this.shard = shard;
            this.bodyDigest = bodyDigest;
        }

        boolean expired(long now, long horizonMillis) {
            return outcome != null && now - completedAt >= horizonMillis;
        }

        KeptOutcome toKeptOutcome(RequestId id, long now) {
            return outcome == null
                    ? new KeptOutcome(id, bodyDigest, Outcome.unknown(), 0)
                    : new KeptOutcome(id, bodyDigest, outcome, now - completedAt);
        }

        List<Consumer<ClaimResult>> drainWaiters() {
            List<Consumer<ClaimResult>> taken = new ArrayList<>(waiters.values());
            waiters.clear();
            return taken;
        }
    }

    private record Shard(long openedAt, long wallMillis, boolean gap) {
        boolean mayPredate(RequestId id, long now, ArbiterSettings settings) {
            if (!gap || now - openedAt >= settings.horizonMillis()) {
                return false;
            }
            OptionalLong created = ArbiterLocator.creationMillis(id.key());
            return created.isEmpty() || created.getAsLong() <= wallMillis + settings.clockToleranceMillis();
        }

        Optional<ShardTable.Gap> gap(long now, ArbiterSettings settings) {
            return gap && now - openedAt < settings.horizonMillis()
                    ? Optional.of(new ShardTable.Gap(now - openedAt, wallMillis))
                    : Optional.empty();
        }
    }
}
