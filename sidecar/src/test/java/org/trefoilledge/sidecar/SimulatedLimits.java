package org.trefoilledge.sidecar;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.Incarnation;
import org.trefoilledge.core.OrganisationId;
import org.trefoilledge.core.ZoneId;
import org.trefoilledge.core.rate.ClaimPlanner;
import org.trefoilledge.core.rate.RateClaim;
import org.trefoilledge.core.rate.RateTolerance;
import org.trefoilledge.core.rate.TokenGrant;
import org.trefoilledge.core.routing.OrganisationPolicy;

/** The rate limits of a fleet: the production classes of each node, on virtual time with a faulty store and network. */
final class SimulatedLimits implements LimitMechanism {
    private static final long LINK_DELAY_MILLIS = 1;
    private static final long LEASE_MILLIS = 7_000;
    private static final long RENEW_INTERVAL_MILLIS = 1_500;
    private static final long TICK_INTERVAL_MILLIS = 250;
    private static final long WATCH_DELAY_MILLIS = 20;

    private final VirtualTime time;
    private final RateTolerance tolerance;
    private final List<OrganisationPolicy> policies;
    private final List<ZoneId> zones;
    private final Map<HostId, Node> nodes = new HashMap<>();
    private final Map<HostId, ZoneId> zoneByHost = new HashMap<>();
    private final SimulatedStore store;
    private ZoneId isolatedZone;

    private final class Node {
        private final ZoneId zone;
        private final RateClaims claims;
        private final TokenSource tokens;
        private final RateLimits limits;
        private final KeyValueStore client;
        private long lease;
        private long validUntil = Long.MIN_VALUE;
        private long pausedUntil;
        private boolean stopped;
        private boolean ready;

        Node(HostId host, ZoneId zone, Incarnation incarnation) {
            this.zone = zone;
            client = store.client(() -> !zone.equals(isolatedZone) && !paused());
            tokens = new TokenSource(host, zone, tolerance, time, this::requestTokens);
            limits = new RateLimits(time, tolerance.tokenLifetimeMillis(), tokens);
            tokens.configure(policies);
            ClaimPlanner plan = new ClaimPlanner(host, incarnation, zone, zones);
            claims = new RateClaims(
                    host,
                    incarnation,
                    plan,
                    client,
                    new StoreNotes(new SidecarMetrics()),
                    false,
                    time,
                    new ClaimHandler());
            store.items().forEach((key, item) -> applyChange(key, Optional.of(item)));
            time.scheduleEvery(TICK_INTERVAL_MILLIS, this::tick);
            time.scheduleEvery(RENEW_INTERVAL_MILLIS, this::renew);
            renew();
        }

        private final class ClaimHandler implements RateClaims.ClaimHandler {
            @Override
            public void hold(RateClaim claim, long untilMillis) {
                tokens.hold(claim, untilMillis);
            }

            @Override
            public CompletableFuture<Void> release(RateClaim claim) {
                tokens.release(claim);
                return CompletableFuture.completedFuture(null);
            }
        }

        boolean paused() {
            return time.millis() < pausedUntil;
        }

        private void applyChange(String key, Optional<KeyValueStore.Item> item) {
            if (!stopped && !zone.equals(isolatedZone)) {
                claims.applyChange(key.substring(Directory.CLAIM_PREFIX.length()), item);
            }
        }

        private void renew() {
            if (stopped || paused()) {
                return;
            }
            long sent = time.millis();
            if (lease == 0) {
                var unused = client.startLease(LEASE_MILLIS).whenComplete((id, error) -> {
                    if (error == null) {
                        lease = id;
                        validUntil = sent + LEASE_MILLIS;
                    }
                });
                return;
            }
            var unused = client.renewLease(lease).whenComplete((alive, error) -> {
                if (error == null && alive) {
                    validUntil = sent + LEASE_MILLIS;
                } else if (error == null) {
                    lease = 0;
                }
            });
        }

        private void tick() {
            if (stopped || paused()) {
                return;
            }
            claims.tick(lease, validUntil, zoneByHost, time.millis());
            Map<RateClaim, TokenSource.Holder> holders = new HashMap<>();
            claims.holders()
                    .forEach((claim, holder) -> holders.put(
                            claim,
                            new TokenSource.Holder(holder.host(), holder.host().value())));
            tokens.holders(holders);
            ready = true;
        }

        private CompletableFuture<Optional<TokenGrant>> requestTokens(
                String address, TokenSource.Request request, long timeoutMillis) {
            CompletableFuture<Optional<TokenGrant>> answer = new CompletableFuture<>();
            Node target = nodes.get(new HostId(address));
            time.schedule(timeoutMillis, () -> answer.completeExceptionally(new IllegalStateException("timed out")));
            time.schedule(LINK_DELAY_MILLIS, () -> target.handleTokenRequest(this, request, answer));
            return answer;
        }

        private void handleTokenRequest(
                Node from, TokenSource.Request request, CompletableFuture<Optional<TokenGrant>> answer) {
            if (stopped || zone.equals(isolatedZone) != from.zone.equals(isolatedZone)) {
                return;
            }
            if (paused()) {
                time.schedule(pausedUntil - time.millis(), () -> handleTokenRequest(from, request, answer));
                return;
            }
            Optional<TokenGrant> grant = tokens.grant(request);
            time.schedule(LINK_DELAY_MILLIS, () -> answer.complete(grant));
        }
    }

    SimulatedLimits(VirtualTime time, FleetShape shape) {
        this.time = time;
        this.policies = shape.policies();
        this.zones = shape.zones();
        this.tolerance = shape.tolerance();
        this.store = new SimulatedStore(
                time,
                (key, item) -> time.schedule(
                        WATCH_DELAY_MILLIS, () -> nodes.values().forEach(node -> node.applyChange(key, item))));
        for (int i = 0; i < shape.nodes(); i++) {
            zoneByHost.put(shape.host(i), shape.zone(i));
        }
        for (int i = 0; i < shape.nodes(); i++) {
            nodes.put(shape.host(i), new Node(shape.host(i), shape.zone(i), new Incarnation(1)));
        }
    }

    @Override
    public void request(HostId node, OrganisationId organisation, Consumer<Boolean> onDecision) {
        nodes.get(node)
                .limits
                .acquire(organisation, decision -> onDecision.accept(decision.verdict() == RateLimits.Verdict.GRANTED));
    }

    @Override
    public boolean acceptsRequests(HostId node) {
        // A node that starts accepts no requests before its first tick has set the holders of the claims.
        return nodes.get(node).ready && !nodes.get(node).paused();
    }

    @Override
    public void isolateZone(Optional<ZoneId> zone) {
        isolatedZone = zone.orElse(null);
        if (zone.isEmpty()) {
            // The nodes that were cut off list the store again when they reach it.
            for (Node node : nodes.values()) {
                List<String> knownKeys = new ArrayList<>();
                node.claims.holders().keySet().forEach(claim -> knownKeys.add(Directory.CLAIM_PREFIX + claim.name()));
                knownKeys.forEach(key ->
                        node.applyChange(key, Optional.ofNullable(store.items().get(key))));
                store.items().forEach((key, item) -> node.applyChange(key, Optional.of(item)));
            }
        }
    }

    @Override
    public void setStoreUnavailable(boolean unavailable) {
        store.unavailable(unavailable);
    }

    @Override
    public void restart(HostId host, int incarnation) {
        Node previous = nodes.get(host);
        previous.stopped = true;
        nodes.put(host, new Node(host, previous.zone, new Incarnation(incarnation)));
    }

    /** Pauses the holder of the first part of the organisation's limit; its steady clock runs on. */
    @Override
    public void pauseOwner(OrganisationId organisation, long millis) {
        nodes.values().stream()
                .map(node -> node.claims
                        .holders()
                        .get(RateClaim.forOrganisation(organisation).get(0)))
                .filter(java.util.Objects::nonNull)
                .findFirst()
                .ifPresent(holder -> nodes.get(holder.host()).pausedUntil = time.millis() + millis);
    }
}
