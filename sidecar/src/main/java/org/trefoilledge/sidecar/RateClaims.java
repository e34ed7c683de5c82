package org.trefoilledge.sidecar;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.trefoilledge.core.Clock;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.Incarnation;
import org.trefoilledge.core.ZoneId;
import org.trefoilledge.core.rate.ClaimPlanner;
import org.trefoilledge.core.rate.RateClaim;
import org.trefoilledge.core.rate.RestoreDelay;

/**
 * Acquires and releases claims in the store. A claim is written under this node's lease and expires with it. This node
 * holds a claim only if the store has confirmed the write under the current lease. Used on the control thread.
 */
@SuppressWarnings("FutureReturnValueIgnored") // the handler of each write and removal records its result
final class RateClaims {
    private static final Logger LOG = LoggerFactory.getLogger(RateClaims.class);
    private static final Json JSON = new Json();
    /** Time after which an unanswered write is repeated on the same condition; the first one may still take effect. */
    private static final long WRITE_RETRY_MILLIS = 500;
    /** Added to the duration of a lease, because the clocks of two hosts run at slightly different speeds. */
    private static final long CLOCK_MARGIN_MILLIS = 500;

    private static final String EPOCH_FIELD = "epoch";

    private final ClaimPlanner plan;
    private final KeyValueStore store;
    private final StoreNotes notes;
    private final ClaimHandler handler;
    private final Map<RateClaim, ClaimPlanner.Holder> holders = new HashMap<>();
    /** Revisions of the claims in the store. */
    private final Map<RateClaim, Long> revisions = new HashMap<>();
    /** Times at which writes without an answer were sent. */
    private final Map<RateClaim, Long> pendingWrites = new HashMap<>();
    /** Claims that the store has confirmed under the current lease, with their revisions. */
    private final Map<RateClaim, Long> confirmedRevisions = new HashMap<>();

    /** Claims that were confirmed before the store was restored, and are to be confirmed again. */
    private final KeptClaims kept;

    private final RestoreDelay restoreDelay;
    private final HostId self;
    private final Incarnation incarnation;
    private long lease;
    private long leaseValidUntilMillis = Long.MIN_VALUE;
    /** Whether other nodes may hold claims that the store has lost, so that none is acquired. */
    private boolean restoring;
    /** Whether confirmed claims were written without the epoch while the restore was recent. */
    private boolean epochUnstated;

    /** Read also on the threads on which releases complete. */
    private final AtomicLong restores = new AtomicLong();

    private boolean leaving;

    /** Starts and stops the granting of tokens for the claims of this node. */
    interface ClaimHandler {
        /** Grants tokens of the claim until the given time on the clock that counts suspensions. */
        void hold(RateClaim claim, long untilMillis);

        /** Stops granting tokens of the claim; the future completes, on any thread, when no more are granted. */
        CompletableFuture<Void> release(RateClaim claim);
    }

    /**
     * @param firstStart whether the fleet starts for the first time, so that no other node holds claims
     * @param leaseClock clock that includes the time for which the host is suspended
     */
    RateClaims(
            HostId self,
            Incarnation incarnation,
            ClaimPlanner plan,
            KeyValueStore store,
            StoreNotes notes,
            boolean firstStart,
            Clock leaseClock,
            ClaimHandler handler) {
        this.self = self;
        this.incarnation = incarnation;
        this.plan = plan;
        this.store = store;
        this.notes = notes;
        this.handler = handler;
        this.kept = new KeptClaims(leaseClock);
        this.restoreDelay = new RestoreDelay(firstStart, Registration.LEASE_DURATION_MILLIS + CLOCK_MARGIN_MILLIS);
    }

    /**
     * Returns the value of a claim in the store. A claim that is acquired when no earlier holder can be left names the
     * epoch, so that nodes that start later do not have to wait.
     */
    private byte[] value() {
        ObjectNode entry = JSON.createObjectNode().put("host", self.value()).put("incarnation", incarnation.value());
        if (!restoring) {
            store.epoch().ifPresent(epoch -> entry.put(EPOCH_FIELD, epoch));
        }
        return JSON.writeBytes(entry);
    }

    /**
     * Keeps the confirmed claims until their lease would have ended, and forgets the revisions and the lease, which a
     * restored store issues again.
     */
    void onRestore() {
        LOG.info("rate: writing {} claims again, acquiring no others for now", confirmedRevisions.size());
        restores.incrementAndGet();
        restoring = true;
        kept.keep(confirmedRevisions.keySet(), leaseValidUntilMillis);
        confirmedRevisions.clear();
        revisions.clear();
        pendingWrites.clear();
        lease = 0;
    }

    /** Returns the holder of each claim, as the store shows it. */
    Map<RateClaim, ClaimPlanner.Holder> holders() {
        return holders;
    }

    /** Applies a change of a claim in the store; releases the claim if this node has lost it. */
    void applyChange(String name, Optional<KeyValueStore.Item> item) {
        Optional<RateClaim> claim = RateClaim.parse(name);
        if (claim.isEmpty()) {
            return;
        }
        holders.remove(claim.get());
        revisions.remove(claim.get());
        Optional<ClaimPlanner.Holder> holder = item.flatMap(stored -> parseHolder(name, stored.value()));
        holder.ifPresent(current -> {
            holders.put(claim.get(), current);
            revisions.put(claim.get(), item.get().revision());
        });
        Long ownRevision = confirmedRevisions.get(claim.get());
        boolean changed = ownRevision != null && (item.isEmpty() || item.get().revision() > ownRevision);
        if (changed && !holder.map(this::isSelf).orElse(false)) {
            confirmedRevisions.remove(claim.get());
            loseClaim(claim.get(), item.isPresent());
        }
    }

    /**
     * Releases a claim that this node has lost. While a restore spreads, another node may report that a claim is missing
     * which this node has just written again; this node then keeps and writes it, as no other may acquire it yet.
     */
    private void loseClaim(RateClaim claim, boolean acquiredByOther) {
        if (restoring && !acquiredByOther) {
            kept.keep(Set.of(claim), leaseValidUntilMillis);
        } else {
            handler.release(claim);
        }
    }

    private boolean isSelf(ClaimPlanner.Holder holder) {
        return holder.host().equals(self) && holder.incarnation().equals(incarnation);
    }

    private Optional<ClaimPlanner.Holder> parseHolder(String name, byte[] stored) {
        try {
            JsonNode entry = JSON.readTree(stored);
            JsonNode epoch = entry.path(EPOCH_FIELD);
            restoreDelay.observeClaim(
                    epoch.isIntegralNumber() ? OptionalLong.of(epoch.asLong()) : OptionalLong.empty());
            return Optional.of(new ClaimPlanner.Holder(
                    new HostId(entry.path("host").asText()),
                    new Incarnation(entry.path("incarnation").asLong())));
        } catch (IOException | IllegalArgumentException e) {
            LOG.warn("rate: ignored the claim {} in the store: {}", name, e.getMessage());
            return Optional.empty();
        }
    }

    /**
     * Extends the claims of this node to the end of its lease, and tries to acquire others.
     *
     * @param currentLease lease of this node, 0 if it has none
     * @param untilMillis time until which the lease is certainly valid
     * @param nodes zone of each node, this one included; empty to acquire no claims except those of an earlier run
     */
    void tick(long currentLease, long untilMillis, Map<HostId, ZoneId> nodes, long now) {
        if (currentLease != lease) {
            lease = currentLease;
            Set<RateClaim> expired = new HashSet<>(confirmedRevisions.keySet());
            confirmedRevisions.clear();
            expired.forEach(handler::release);
        }
        leaseValidUntilMillis = lease == 0 ? leaseValidUntilMillis : untilMillis;
        restoreDelay.observe(store.epoch(), now);
        boolean mayAcquire = restoreDelay.mayAcquire(now);
        epochUnstated |= restoring && mayAcquire;
        restoring = !mayAcquire;
        kept.removeExpired().forEach(handler::release);
        if (leaving || lease == 0) {
            return;
        }
        confirmedRevisions.keySet().forEach(claim -> handler.hold(claim, untilMillis));
        writeKeptClaims(now);
        if (restoring) {
            return;
        }
        if (epochUnstated) {
            // The claims were written without the epoch, by which a node that restarts knows that it need not wait.
            epochUnstated = false;
            confirmedRevisions.keySet().forEach(claim -> writeClaim(claim, now));
        }
        plan.claimsToAcquire(nodes, holders, now).forEach(claim -> writeClaim(claim, now));
        // A write whose answer was lost appears in the store as an unconfirmed claim of this run.
        Map.copyOf(holders).forEach((claim, holder) -> {
            if (isSelf(holder) && !confirmedRevisions.containsKey(claim)) {
                writeClaim(claim, now);
            }
        });
    }

    /** Confirms the kept claims under the current lease, on the revisions that the restored store has. */
    private void writeKeptClaims(long now) {
        if (kept.isEmpty()) {
            return;
        }
        if (!kept.listingNeeded()) {
            kept.claims().forEach(claim -> writeClaim(claim, now));
            return;
        }
        kept.listingNeeded(false);
        store.list(Directory.CLAIM_PREFIX).whenComplete((listing, error) -> {
            notes.recordCall("list", error);
            if (error != null) {
                kept.listingNeeded(true);
                return;
            }
            kept.removeExpired().forEach(handler::release);
            kept.claims().forEach(revisions::remove);
            listing.items().forEach(item -> RateClaim.parse(item.key().substring(Directory.CLAIM_PREFIX.length()))
                    .ifPresent(claim -> revisions.put(claim, item.revision())));
            if (lease != 0 && !leaving) {
                kept.claims().forEach(claim -> writeClaim(claim, now));
            }
        });
    }

    private void writeClaim(RateClaim claim, long now) {
        Long sentMillis = pendingWrites.get(claim);
        if (sentMillis != null && now - sentMillis < WRITE_RETRY_MILLIS) {
            return;
        }
        pendingWrites.put(claim, now);
        long writeLease = lease;
        String key = Directory.CLAIM_PREFIX + claim.name();
        var unused = store.write(key, value(), revisions.getOrDefault(claim, 0L), writeLease)
                .whenComplete((revision, error) -> {
                    notes.recordCall("write-claim", error);
                    if (error == null) {
                        pendingWrites.remove(claim);
                    }
                    if (error == null && revision.isPresent() && writeLease == lease && !leaving) {
                        confirmedRevisions.put(claim, revision.get());
                        holders.put(claim, new ClaimPlanner.Holder(self, incarnation));
                        revisions.put(claim, revision.get());
                        kept.remove(claim);
                    } else if (!kept.isEmpty()) {
                        kept.listingNeeded(true);
                    }
                });
    }

    /** Releases all claims, so that other nodes can acquire them at once. Granted tokens stay valid. */
    void releaseAll() {
        leaving = true;
        Map<RateClaim, Long> released = new HashMap<>(confirmedRevisions);
        confirmedRevisions.clear();
        kept.removeAll().forEach(handler::release);
        long restoresBefore = restores.get();
        released.forEach((claim, revision) -> {
            // Another node may acquire the claim as soon as its key is removed, so granting stops first.
            handler.release(claim)
                    .thenCompose(stopped -> removeClaim(claim, revision, restoresBefore))
                    .whenComplete((removed, error) -> notes.recordCall("remove-claim", error));
        });
    }

    /** Removes a claim, unless the store was restored since: the revision can then be that of another node's claim. */
    private CompletableFuture<Boolean> removeClaim(RateClaim claim, long revision, long restoresBefore) {
        if (restores.get() != restoresBefore) {
            return CompletableFuture.completedFuture(false);
        }
        return store.remove(Directory.CLAIM_PREFIX + claim.name(), revision);
    }
}
