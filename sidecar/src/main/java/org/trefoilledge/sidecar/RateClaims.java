package org.trefoilledge.sidecar;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.Incarnation;
import org.trefoilledge.core.ZoneId;
import org.trefoilledge.core.rate.ClaimPlanner;
import org.trefoilledge.core.rate.RateClaim;

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

    private final ClaimPlanner plan;
    private final KeyValueStore store;
    private final StoreNotes notes;
    private final ClaimHandler handler;
    private final byte[] value;
    private final Map<RateClaim, ClaimPlanner.Holder> holders = new HashMap<>();
    /** Revisions of the claims in the store. */
    private final Map<RateClaim, Long> revisions = new HashMap<>();
    /** Times at which writes without an answer were sent. */
    private final Map<RateClaim, Long> pendingWrites = new HashMap<>();
    /** Claims that the store has confirmed under the current lease, with their revisions. */
    private final Map<RateClaim, Long> confirmedRevisions = new HashMap<>();

    private final HostId self;
    private final Incarnation incarnation;
    private long lease;
    private boolean leaving;

    /** Starts and stops the granting of tokens for the claims of this node. */
    interface ClaimHandler {
        /** Grants tokens of the claim until the given time on the clock that counts suspensions. */
        void hold(RateClaim claim, long untilMillis);

        /** Stops granting tokens of the claim; the future completes, on any thread, when no more are granted. */
        CompletableFuture<Void> release(RateClaim claim);
    }

    RateClaims(
            HostId self,
            Incarnation incarnation,
            ClaimPlanner plan,
            KeyValueStore store,
            StoreNotes notes,
            ClaimHandler handler) {
        this.self = self;
        this.incarnation = incarnation;
        this.plan = plan;
        this.store = store;
        this.notes = notes;
        this.handler = handler;
        this.value = JSON.writeBytes(
                JSON.createObjectNode().put("host", self.value()).put("incarnation", incarnation.value()));
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
            handler.release(claim.get());
        }
    }

    private boolean isSelf(ClaimPlanner.Holder holder) {
        return holder.host().equals(self) && holder.incarnation().equals(incarnation);
    }

    private static Optional<ClaimPlanner.Holder> parseHolder(String name, byte[] stored) {
        try {
            JsonNode entry = JSON.readTree(stored);
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
        if (leaving || lease == 0) {
            return;
        }
        confirmedRevisions.keySet().forEach(claim -> handler.hold(claim, untilMillis));
        plan.claimsToAcquire(nodes, holders, now).forEach(claim -> writeClaim(claim, now));
        // A write whose answer was lost appears in the store as an unconfirmed claim of this run.
        Map.copyOf(holders).forEach((claim, holder) -> {
            if (isSelf(holder) && !confirmedRevisions.containsKey(claim)) {
                writeClaim(claim, now);
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
        var unused = store.write(key, value, revisions.getOrDefault(claim, 0L), writeLease)
                .whenComplete((revision, error) -> {
                    notes.recordCall("write-claim", error);
                    if (error == null) {
                        pendingWrites.remove(claim);
                    }
                    if (error == null && revision.isPresent() && writeLease == lease && !leaving) {
                        confirmedRevisions.put(claim, revision.get());
                        holders.put(claim, new ClaimPlanner.Holder(self, incarnation));
                        revisions.put(claim, revision.get());
                    }
                });
    }

    /** Releases all claims, so that other nodes can acquire them at once. Granted tokens stay valid. */
    void releaseAll() {
        leaving = true;
        Map<RateClaim, Long> released = new HashMap<>(confirmedRevisions);
        confirmedRevisions.clear();
        released.forEach((claim, revision) -> {
            // Another node may acquire the claim as soon as its key is removed, so granting stops first.
            handler.release(claim)
                    .thenCompose(stopped -> store.remove(Directory.CLAIM_PREFIX + claim.name(), revision))
                    .whenComplete((removed, error) -> notes.recordCall("remove-claim", error));
        });
    }
}
