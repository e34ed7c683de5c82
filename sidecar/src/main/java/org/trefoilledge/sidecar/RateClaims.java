package org.trefoilledge.sidecar;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
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
import org.trefoilledge.core.rate.ClaimPlan;
import org.trefoilledge.core.rate.RateClaim;

/**
 * Takes claims in the store and gives them up. A claim is written under this node's lease, so it ends with the lease;
 * only a write that the store has confirmed under the present lease counts. Used on the control thread.
 */
@SuppressWarnings("FutureReturnValueIgnored") // each call notes how it ended
final class RateClaims {
    private static final Logger LOG = LoggerFactory.getLogger(RateClaims.class);
    private static final ObjectMapper JSON = new ObjectMapper();
    /** A write without an answer may still take effect; it is repeated under the same condition after this time. */
    private static final long WRITE_RETRY_MILLIS = 500;

    private final ClaimPlan plan;
    private final KeyValueStore store;
    private final StoreNotes notes;
    private final ClaimHandler handler;
    private final byte[] value;
    private final Map<RateClaim, ClaimPlan.Holder> holders = new HashMap<>();
    private final Map<RateClaim, Long> revisions = new HashMap<>();
    private final Map<RateClaim, Long> pendingWrites = new HashMap<>();
    /** Claims confirmed under the present lease, with their revision. */
    private final Map<RateClaim, Long> confirmedRevisions = new HashMap<>();

    private final HostId self;
    private final Incarnation incarnation;
    private long lease;
    private boolean leaving;

    /** What follows from a change of the claims that this node has. */
    interface ClaimHandler {
        /** This node has the claim up to a time on the clock that counts suspensions. */
        void hold(RateClaim claim, long untilMillis);

        /** Stops to give tokens of the claim; the future completes, on any thread, when no more are given. */
        CompletableFuture<Void> release(RateClaim claim);
    }

    RateClaims(
            HostId self,
            Incarnation incarnation,
            ClaimPlan plan,
            KeyValueStore store,
            StoreNotes notes,
            ClaimHandler effects) {
        this.self = self;
        this.incarnation = incarnation;
        this.plan = plan;
        this.store = store;
        this.notes = notes;
        this.handler = effects;
        this.value = JSON.createObjectNode()
                .put("host", self.value())
                .put("incarnation", incarnation.value())
                .toString()
                .getBytes(StandardCharsets.UTF_8);
    }

    /** Returns who has which claim. */
    Map<RateClaim, ClaimPlan.Holder> holders() {
        return holders;
    }

    /** Takes a change of a claim in the store. */
    void applyChange(String name, Optional<KeyValueStore.Item> item) {
        Optional<RateClaim> claim = RateClaim.named(name);
        if (claim.isEmpty()) {
            return;
        }
        holders.remove(claim.get());
        revisions.remove(claim.get());
        Optional<ClaimPlan.Holder> holder = item.flatMap(written -> parseHolder(name, written.value()));
        holder.ifPresent(current -> {
            holders.put(claim.get(), current);
            revisions.put(claim.get(), item.get().revision());
        });
        Long own = confirmedRevisions.get(claim.get());
        boolean lost = own != null && (item.isEmpty() || item.get().revision() > own);
        if (lost && !holder.map(this::isSelf).orElse(false)) {
            confirmedRevisions.remove(claim.get());
            handler.release(claim.get());
        }
    }

    private boolean isSelf(ClaimPlan.Holder holder) {
        return holder.host().equals(self) && holder.incarnation().equals(incarnation);
    }

    private static Optional<ClaimPlan.Holder> parseHolder(String name, byte[] stored) {
        try {
            JsonNode entry = JSON.readTree(stored);
            return Optional.of(new ClaimPlan.Holder(
                    new HostId(entry.path("host").asText()),
                    new Incarnation(entry.path("incarnation").asLong())));
        } catch (IOException | IllegalArgumentException e) {
            LOG.warn("rate: ignored the claim {} in the store: {}", name, e.getMessage());
            return Optional.empty();
        }
    }

    /**
     * Prolongs the claims that this node has, and tries to take others.
     *
     * @param currentLease lease of this node, 0 if it has none
     * @param untilMillis time up to which the lease certainly runs
     * @param nodes zone of each node, this one included; empty if it is to take no claims but those of its earlier run
     */
    void tick(long currentLease, long untilMillis, Map<HostId, ZoneId> nodes, long now) {
        if (currentLease != lease) {
            lease = currentLease;
            Set<RateClaim> ended = new HashSet<>(confirmedRevisions.keySet());
            confirmedRevisions.clear();
            ended.forEach(handler::release);
        }
        if (leaving || lease == 0) {
            return;
        }
        confirmedRevisions.keySet().forEach(claim -> handler.hold(claim, untilMillis));
        plan.toTry(nodes, holders, now).forEach(claim -> writeClaim(claim, now));
        // A write whose answer was lost shows as a claim of this run that was not confirmed.
        Map.copyOf(holders).forEach((claim, holder) -> {
            if (isSelf(holder) && !confirmedRevisions.containsKey(claim)) {
                writeClaim(claim, now);
            }
        });
    }

    private void writeClaim(RateClaim claim, long now) {
        Long begun = pendingWrites.get(claim);
        if (begun != null && now - begun < WRITE_RETRY_MILLIS) {
            return;
        }
        pendingWrites.put(claim, now);
        long under = lease;
        String key = Directory.CLAIMS + claim.name();
        var unused = store.write(key, value, revisions.getOrDefault(claim, 0L), under)
                .whenComplete((revision, error) -> {
                    notes.note("write-claim", error);
                    if (error == null) {
                        pendingWrites.remove(claim);
                    }
                    if (error == null && revision.isPresent() && under == lease && !leaving) {
                        confirmedRevisions.put(claim, revision.get());
                        holders.put(claim, new ClaimPlan.Holder(self, incarnation));
                        revisions.put(claim, revision.get());
                    }
                });
    }

    /** Gives up all claims, so that others can take them at once. The tokens given before remain valid. */
    void releaseAll() {
        leaving = true;
        Map<RateClaim, Long> given = new HashMap<>(confirmedRevisions);
        confirmedRevisions.clear();
        given.forEach((claim, revision) -> {
            // Another node may take the claim as soon as it is removed.
            handler.release(claim)
                    .thenCompose(stopped -> store.remove(Directory.CLAIMS + claim.name(), revision))
                    .whenComplete((removed, error) -> notes.note("remove-claim", error));
        });
    }
}
