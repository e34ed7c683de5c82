package org.trefoilledge.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.Incarnation;
import org.trefoilledge.core.ZoneId;
import org.trefoilledge.core.rate.ClaimPlanner;
import org.trefoilledge.core.rate.RateClaim;

/** Claims of a single node, with a store that may be unreachable. */
class RateClaimsTest {
    private static final HostId SELF = new HostId("self");
    private static final ZoneId ZONE = new ZoneId("a");
    private static final Incarnation FIRST_INCARNATION = new Incarnation(1);
    private static final int ALL_CLAIMS = RateClaim.PARTS * RateClaim.SHARDS + 1;

    private final VirtualTime time = new VirtualTime();
    private final Set<RateClaim> heldClaims = new HashSet<>();
    private CompletableFuture<Void> releaseCompletion = CompletableFuture.completedFuture(null);
    private boolean reachable = true;
    private RateClaims claims;
    private final SimulatedStore store =
            new SimulatedStore(time, (key, item) -> time.schedule(5, () -> applyChange(key, item)));
    private final KeyValueStore client = store.client(() -> reachable);
    private long lease;

    RateClaimsTest() {
        claims = claims(FIRST_INCARNATION);
        startLease();
        time.runUntil(10);
    }

    @Test
    void singleNodeTakesAllClaims() {
        tick(100);
        tick(300);

        assertThat(heldClaims).hasSize(ALL_CLAIMS);
    }

    @Test
    void claimIsHeldOnlyAfterTheStoreConfirmsIt() {
        reachable = false;
        tick(100);
        tick(1_500);
        assertThat(heldClaims).isEmpty();
        reachable = true;
        tick(2_500);
        tick(2_700);

        assertThat(heldClaims).hasSize(ALL_CLAIMS);
    }

    @Test
    void claimIsReleasedWithItsLeaseAndTakenAgainUnderTheNextLease() {
        tick(100);
        tick(300);
        var unused = client.endLease(lease);
        time.runUntil(400);
        assertThat(heldClaims).isEmpty();
        startLease();
        time.runUntil(500);
        tick(1_000);
        tick(1_200);

        assertThat(heldClaims).hasSize(ALL_CLAIMS);
    }

    @Test
    void leavingNodeRemovesItsClaims() {
        tick(100);
        tick(300);
        claims.releaseAll();
        time.runUntil(400);

        assertThat(heldClaims).isEmpty();
        assertThat(store.items()).isEmpty();
    }

    @Test
    void leavingNodeKeepsItsKeysUntilItHasStoppedGrantingTokens() {
        tick(100);
        tick(300);
        releaseCompletion = new CompletableFuture<>();
        claims.releaseAll();
        time.runUntil(2_000);
        assertThat(store.items()).hasSize(ALL_CLAIMS);
        releaseCompletion.complete(null);
        time.runUntil(2_100);

        assertThat(store.items()).isEmpty();
    }

    @Test
    void restartedNodeTakesClaimsOfItsEarlierRunBeforeTheirLeaseExpires() {
        tick(100);
        tick(300);
        heldClaims.clear();
        claims = claims(new Incarnation(2));
        store.items().forEach((key, item) -> applyChange(key, Optional.of(item)));
        startLease();
        time.runUntil(400);
        tick(500);
        tick(700);

        assertThat(heldClaims).hasSize(ALL_CLAIMS);
    }

    @Test
    void unreadableClaimCountsAsFree() {
        claims.applyChange("shard-0-0", Optional.of(new KeyValueStore.Item("x", new byte[] {'{'}, 7)));
        claims.applyChange("of a later version", Optional.of(new KeyValueStore.Item("x", new byte[0], 8)));

        assertThat(claims.holders()).isEmpty();
    }

    private void startLease() {
        var unused = client.startLease(8_000).thenAccept(id -> lease = id);
    }

    private RateClaims claims(Incarnation incarnation) {
        ClaimPlanner plan = new ClaimPlanner(SELF, incarnation, ZONE, List.of(ZONE));
        StoreNotes notes = new StoreNotes(new SidecarMetrics());
        return new RateClaims(SELF, incarnation, plan, client, notes, false, time, new RateClaims.ClaimHandler() {
            @Override
            public void hold(RateClaim claim, long untilMillis) {
                heldClaims.add(claim);
            }

            @Override
            public CompletableFuture<Void> release(RateClaim claim) {
                return releaseCompletion.thenRun(() -> heldClaims.remove(claim));
            }
        });
    }

    private void applyChange(String key, Optional<KeyValueStore.Item> item) {
        claims.applyChange(key.substring(Directory.CLAIM_PREFIX.length()), item);
    }

    private void tick(long at) {
        time.runUntil(at);
        claims.tick(lease, at + 8_000, Map.of(SELF, ZONE), at);
    }
}
