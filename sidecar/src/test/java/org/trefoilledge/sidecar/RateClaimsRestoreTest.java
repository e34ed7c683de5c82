package org.trefoilledge.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.Incarnation;
import org.trefoilledge.core.ZoneId;
import org.trefoilledge.core.rate.ClaimPlanner;
import org.trefoilledge.core.rate.RateClaim;

/**
 * Restores the store from a copy while nodes hold claims. Guards against an organisation that gets its rate twice, or not
 * at all, because claims and leases of the store have changed behind the nodes.
 */
class RateClaimsRestoreTest {
    private static final ZoneId ZONE = new ZoneId("a");
    private static final int ALL_CLAIMS = RateClaim.PARTS * RateClaim.SHARDS + 1;
    private static final long LEASE_MILLIS = Registration.LEASE_DURATION_MILLIS;
    private static final long RENEW_MILLIS = 1_500;
    private static final long TICK_MILLIS = 250;
    private static final long CHECK_MILLIS = 50;
    private static final long FIRST_EPOCH = 1;

    private final VirtualTime time = new VirtualTime();
    private final List<Node> nodes = new ArrayList<>();
    private final Map<HostId, ZoneId> zoneByHost = new HashMap<>();
    private final SimulatedStore store = new SimulatedStore(
            time, (key, item) -> time.schedule(5, () -> nodes.forEach(node -> node.applyChange(key, item))));
    private final List<String> doubleHolders = new ArrayList<>();
    /** Whether claims that nobody holds are recorded. */
    private boolean checkingGaps;

    private final List<Long> gaps = new ArrayList<>();

    /** The claims of a node, with what registration and the follower of the store do for them. */
    private final class Node {
        private final HostId host;
        private final KeyValueStore client;
        private final RateClaims claims;
        private final Map<RateClaim, Long> heldUntil = new HashMap<>();
        private CompletableFuture<Void> releaseCompletion = CompletableFuture.completedFuture(null);
        private boolean reachable = true;
        private boolean ended;
        private long lease;
        private long validUntil = Long.MIN_VALUE;

        Node(String name, long incarnation, boolean firstStart) {
            host = new HostId(name);
            client = store.client(() -> reachable);
            ClaimPlanner plan = new ClaimPlanner(host, new Incarnation(incarnation), ZONE, List.of(ZONE));
            claims = new RateClaims(
                    host,
                    new Incarnation(incarnation),
                    plan,
                    client,
                    new StoreNotes(new SidecarMetrics()),
                    firstStart,
                    time,
                    new Effects());
            client.onRestore(this::onRestore);
            zoneByHost.put(host, ZONE);
            nodes.add(this);
            list();
            startLease();
            time.scheduleEvery(TICK_MILLIS, this::tick);
            time.scheduleEvery(RENEW_MILLIS, this::renew);
        }

        private final class Effects implements RateClaims.ClaimHandler {
            @Override
            public void hold(RateClaim claim, long untilMillis) {
                heldUntil.put(claim, untilMillis);
            }

            @Override
            public CompletableFuture<Void> release(RateClaim claim) {
                heldUntil.remove(claim);
                return releaseCompletion;
            }
        }

        void applyChange(String key, Optional<KeyValueStore.Item> item) {
            if (reachable && !ended) {
                claims.applyChange(key.substring(Directory.CLAIM_PREFIX.length()), item);
            }
        }

        private void onRestore() {
            claims.onRestore();
            lease = 0;
            startLease();
            list();
        }

        private void list() {
            var unused = client.list(Directory.CLAIM_PREFIX).thenAccept(listing -> {
                List<RateClaim> missing = new ArrayList<>(claims.holders().keySet());
                for (KeyValueStore.Item item : listing.items()) {
                    applyChange(item.key(), Optional.of(item));
                    missing.removeIf(claim -> item.key().endsWith("/" + claim.name()));
                }
                missing.forEach(claim -> applyChange(Directory.CLAIM_PREFIX + claim.name(), Optional.empty()));
            });
        }

        private void startLease() {
            long sent = time.millis();
            var unused = client.startLease(LEASE_MILLIS).thenAccept(id -> {
                lease = id;
                validUntil = sent + LEASE_MILLIS;
            });
        }

        private void renew() {
            if (ended || lease == 0) {
                return;
            }
            long sent = time.millis();
            long renewed = lease;
            var unused = client.renewLease(lease).thenAccept(alive -> {
                if (alive && lease == renewed) {
                    validUntil = sent + LEASE_MILLIS;
                } else if (lease == renewed) {
                    lease = 0;
                    startLease();
                }
            });
        }

        private void tick() {
            if (!ended) {
                claims.tick(lease, lease == 0 ? Long.MIN_VALUE : validUntil, zoneByHost, time.millis());
            }
        }

        boolean grants(RateClaim claim) {
            return !ended && heldUntil.getOrDefault(claim, Long.MIN_VALUE) >= time.millis();
        }

        long grantedClaims() {
            return heldUntil.keySet().stream().filter(this::grants).count();
        }

        void kill() {
            ended = true;
            zoneByHost.remove(host);
        }
    }

    RateClaimsRestoreTest() {
        store.epoch(FIRST_EPOCH);
        time.scheduleEvery(CHECK_MILLIS, this::check);
    }

    private void check() {
        for (int i = 0; i < RateClaim.SHARDS * RateClaim.PARTS; i++) {
            RateClaim claim = RateClaim.shard(i / RateClaim.PARTS, i % RateClaim.PARTS);
            long holders = nodes.stream().filter(node -> node.grants(claim)).count();
            if (holders > 1) {
                doubleHolders.add(claim.name() + " at " + time.millis());
            }
            if (holders == 0 && checkingGaps) {
                gaps.add(time.millis());
            }
        }
    }

    @AfterEach
    void noClaimEverHasTwoHolders() {
        assertThat(doubleHolders).isEmpty();
    }

    @Test
    void holderKeepsGrantingAndWritesItsClaimsAgain() {
        SimulatedStore.Copy empty = store.copy();
        Node holder = new Node("a", 1, true);
        time.runUntil(3_000);
        assertThat(holder.grantedClaims()).isEqualTo(ALL_CLAIMS);
        checkingGaps = true;
        store.restore(empty);
        time.runUntil(20_000);

        assertThat(gaps).isEmpty();
        assertThat(holder.grantedClaims()).isEqualTo(ALL_CLAIMS);
        assertThat(store.items()).hasSize(ALL_CLAIMS);
    }

    @Test
    void holdersKeepTheirClaimsOverTwoRestoresInARow() {
        SimulatedStore.Copy empty = store.copy();
        new Node("a", 1, true);
        new Node("b", 1, true);
        time.runUntil(3_000);
        checkingGaps = true;
        for (int restores = 0; restores < 4; restores++) {
            store.restore(empty);
            time.runUntil(time.millis() + 700);
        }
        time.runUntil(20_000);

        assertThat(gaps).isEmpty();
        assertThat(store.items()).hasSize(ALL_CLAIMS);
    }

    @Test
    void otherNodeWaitsUntilAHolderThatHasNotNoticedTheRestoreHasStopped() {
        SimulatedStore.Copy empty = store.copy();
        Node holder = new Node("a", 1, true);
        time.runUntil(3_000);
        Node other = new Node("b", 1, false);
        time.runUntil(6_000);
        assertThat(holder.grantedClaims()).isEqualTo(ALL_CLAIMS);
        holder.reachable = false;
        store.restore(empty);
        time.runUntil(10_000);
        assertThat(other.grantedClaims()).isZero();
        time.runUntil(16_000);
        assertThat(other.grantedClaims()).isEqualTo(ALL_CLAIMS);
        holder.reachable = true;
        time.runUntil(30_000);

        assertThat(holder.grantedClaims() + other.grantedClaims()).isEqualTo(ALL_CLAIMS);
    }

    @Test
    void nodeThatStartsAfterTheRestoreWaitsToo() {
        SimulatedStore.Copy empty = store.copy();
        Node holder = new Node("a", 1, true);
        time.runUntil(3_000);
        holder.reachable = false;
        store.restore(empty);
        Node other = new Node("b", 1, false);
        time.runUntil(9_000);
        assertThat(other.grantedClaims()).isZero();
        time.runUntil(16_000);

        assertThat(other.grantedClaims()).isEqualTo(ALL_CLAIMS);
    }

    /** A restart is common, a restore is rare: claims of this epoch show that there is nothing to wait for. */
    @Test
    void restartedNodeTakesItsClaimsAtOnceWithoutARestore() {
        Node first = new Node("a", 1, true);
        time.runUntil(3_000);
        first.kill();
        Node second = new Node("a", 2, false);
        time.runUntil(4_000);

        assertThat(second.grantedClaims()).isEqualTo(ALL_CLAIMS);
    }

    @Test
    void claimThatWasReleasedAfterTheCopyStaysWithTheNextHolder() {
        Node leaving = new Node("a", 1, true);
        time.runUntil(3_000);
        SimulatedStore.Copy copy = store.copy();
        Node next = new Node("b", 1, false);
        time.runUntil(4_000);
        leaving.claims.releaseAll();
        time.runUntil(6_000);
        assertThat(next.grantedClaims()).isEqualTo(ALL_CLAIMS);
        checkingGaps = true;
        store.restore(copy);
        time.runUntil(25_000);

        assertThat(gaps).isEmpty();
        assertThat(next.grantedClaims()).isEqualTo(ALL_CLAIMS);
    }

    /** The store shows the claims of the earlier run again, which another node has acquired since. */
    @Test
    void restartedNodeDoesNotTakeClaimsOfItsEarlierRunThatTheRestoreBroughtBack() {
        Node first = new Node("a", 1, true);
        time.runUntil(3_000);
        SimulatedStore.Copy copy = store.copy();
        Node holder = new Node("b", 1, false);
        time.runUntil(4_000);
        first.claims.releaseAll();
        first.kill();
        time.runUntil(6_000);
        assertThat(holder.grantedClaims()).isEqualTo(ALL_CLAIMS);
        holder.reachable = false;
        store.restore(copy);
        Node second = new Node("a", 2, false);
        time.runUntil(10_000);
        assertThat(second.grantedClaims()).isZero();
        time.runUntil(25_000);

        assertThat(second.grantedClaims()).isEqualTo(ALL_CLAIMS);
    }

    /** Lease ids are issued again: the lease that one node renews can be that of another. */
    @Test
    void leaseOfAnotherNodeWithTheSameIdDoesNotExtendClaims() {
        SimulatedStore.Copy empty = store.copy();
        Node holder = new Node("a", 1, true);
        time.runUntil(3_000);
        holder.reachable = false;
        store.restore(empty);
        time.runUntil(5_000);
        Node other = new Node("b", 1, false);
        time.runUntil(5_500);
        assertThat(other.lease).isEqualTo(holder.lease);
        holder.reachable = true;
        time.runUntil(7_500);

        assertThat(other.lease).isNotEqualTo(holder.lease);
        assertThat(holder.grantedClaims()).isEqualTo(ALL_CLAIMS);
        time.runUntil(30_000);
        assertThat(holder.grantedClaims()).isEqualTo(ALL_CLAIMS);
    }

    /** The restore hits each step of the first claims: lease, write, answer, watch. */
    @Test
    void restoreAtAnyMomentLeavesOneHolder() {
        for (int step = 0; step < 60; step++) {
            nodes.clear();
            zoneByHost.clear();
            SimulatedStore.Copy copy = store.copy();
            long start = time.millis();
            Node first = new Node("a", step, true);
            Node second = new Node("b", step, true);
            time.runUntil(start + 240 + step);
            store.restore(copy);
            time.runUntil(start + 20_000);
            assertThat(first.grantedClaims() + second.grantedClaims())
                    .as("step %d", step)
                    .isEqualTo(ALL_CLAIMS);
            first.kill();
            second.kill();
            time.runUntil(start + 40_000);
        }
    }

    /** A node that leaves must not remove a claim that another node has written at a revision that was issued again. */
    @Test
    void leavingNodeRemovesNothingByRevisionsOfTheEarlierEpoch() {
        Node holder = new Node("a", 1, true);
        time.runUntil(3_000);
        SimulatedStore.Copy copy = store.copy();
        holder.releaseCompletion = new CompletableFuture<>();
        holder.claims.releaseAll();
        store.restore(copy);
        time.runUntil(5_000);
        holder.releaseCompletion.complete(null);
        time.runUntil(5_500);

        assertThat(store.items()).hasSize(ALL_CLAIMS);
    }
}
