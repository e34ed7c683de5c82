package org.trefoilledge.sidecar;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.trefoilledge.core.Clock;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.OrganisationId;
import org.trefoilledge.core.ZoneId;
import org.trefoilledge.core.rate.ClaimBuckets;
import org.trefoilledge.core.rate.RateClaim;
import org.trefoilledge.core.rate.RateTolerance;
import org.trefoilledge.core.rate.TokenGrant;
import org.trefoilledge.core.routing.OrganisationPolicy;

/**
 * Grants the tokens of the claims that this node holds, and requests tokens from the holders of other claims: first
 * from the owners of the two parts of the organisation's limit and, if one does not answer, from the reserve of this
 * node's zone. Used on the traffic thread.
 */
final class TokenSource implements RateLimits.Source {
    private static final Logger LOG = LoggerFactory.getLogger(TokenSource.class);
    /** Timeout of a token request; answers take a few milliseconds in a region, some tens on a busy processor. */
    private static final long ANSWER_TIMEOUT_MILLIS = 60;
    /** Time for which a holder that did not answer, or no longer holds its claim, is not asked. */
    private static final long HOLDER_BACKOFF_MILLIS = 500;

    private static final CompletableFuture<Void> NO_REQUEST = CompletableFuture.completedFuture(null);

    private final HostId self;
    private final RateClaim ownReserve;
    private final RateTolerance tolerance;
    private final Clock clock;
    private final HolderClient holderClient;
    private final Map<RateClaim, ClaimBuckets> tables = new HashMap<>();
    private final Map<HostId, Long> backoffUntil = new HashMap<>();
    private Map<RateClaim, Holder> holders = Map.of();
    private List<OrganisationPolicy> limitedPolicies = List.of();

    /** Sends token requests to other nodes. */
    @FunctionalInterface
    interface HolderClient {
        CompletableFuture<Optional<TokenGrant>> requestTokens(String address, Request request, long timeoutMillis);
    }

    /**
     * A request for tokens.
     *
     * @param claim claim from which the tokens are requested
     * @param needed tokens for requests that wait
     * @param ahead more tokens, for requests that are expected
     */
    record Request(RateClaim claim, OrganisationId organisation, int needed, int ahead) {}

    /** The node that holds a claim, and its address for token requests. */
    record Holder(HostId host, String address) {}

    /**
     * @param clock counts suspensions, because another node may acquire a claim during one
     */
    TokenSource(HostId self, ZoneId zone, RateTolerance tolerance, Clock clock, HolderClient holderClient) {
        this.self = self;
        this.ownReserve = RateClaim.reserve(zone);
        this.tolerance = tolerance;
        this.clock = clock;
        this.holderClient = holderClient;
    }

    /** Sets the limits that are in force. */
    void configure(List<OrganisationPolicy> policies) {
        limitedPolicies = policies;
        tables.forEach(this::configure);
    }

    /** Sets the holders of all claims whose nodes are known. */
    void holders(Map<RateClaim, Holder> current) {
        holders = current;
    }

    /** Grants tokens of a claim until the given time; creates new buckets unless this node already holds the claim. */
    void hold(RateClaim claim, long untilMillis) {
        ClaimBuckets table = tables.get(claim);
        if (table == null) {
            LOG.info("rate: this node has the claim {}", claim.name());
            table = claim.isReserve() ? ClaimBuckets.forReserve(tolerance) : ClaimBuckets.forOwner(tolerance);
            tables.put(claim, table);
            configure(claim, table);
        }
        table.setValidUntil(untilMillis);
    }

    /** Stops granting tokens of a claim, and drops its buckets. */
    void release(RateClaim claim) {
        if (tables.remove(claim) != null) {
            LOG.info("rate: this node no longer has the claim {}", claim.name());
        }
    }

    private void configure(RateClaim claim, ClaimBuckets table) {
        List<OrganisationPolicy> claimedPolicies = new ArrayList<>();
        for (OrganisationPolicy policy : limitedPolicies) {
            if (claim.isReserve() || RateClaim.forOrganisation(policy.id()).contains(claim)) {
                claimedPolicies.add(policy);
            }
        }
        table.configure(claimedPolicies, clock.millis());
    }

    /** Grants tokens of a claim; empty unless this node certainly holds the claim and knows the organisation. */
    Optional<TokenGrant> grant(Request request) {
        ClaimBuckets table = tables.get(request.claim());
        return table == null
                ? Optional.empty()
                : table.grant(request.organisation(), request.needed(), request.ahead(), clock.millis());
    }

    @Override
    public CompletableFuture<Optional<TokenGrant>> requestTokens(OrganisationId organisation, int needed, int ahead) {
        List<RateClaim> claims = RateClaim.forOrganisation(organisation);
        int first = preferredPart(claims);
        TokenSearch search = new TokenSearch(organisation, needed);
        return search.request(claims.get(first), ahead)
                .thenCompose(done -> search.requestMissing(claims.get(1 - first)))
                .thenCompose(done -> search.holderSilent ? search.requestMissing(ownReserve) : NO_REQUEST)
                .thenApply(done -> search.result());
    }

    /** Returns the part to ask first: one that this node holds, or else each part for about half of the hosts. */
    private int preferredPart(List<RateClaim> claims) {
        if (tables.containsKey(claims.get(0))) {
            return 0;
        }
        return tables.containsKey(claims.get(1)) ? 1 : self.hashCode() & 1;
    }

    /** Collects tokens for one request from several holders in turn. */
    private final class TokenSearch {
        private final OrganisationId organisation;
        private final int needed;
        private int granted;
        private boolean answered;
        private boolean holderSilent;
        private long retryAfterMillis = Long.MAX_VALUE;

        TokenSearch(OrganisationId organisation, int needed) {
            this.organisation = organisation;
            this.needed = needed;
        }

        CompletableFuture<Void> request(RateClaim claim, int ahead) {
            Request request = new Request(claim, organisation, Math.max(0, needed - granted), ahead);
            return TokenSource.this.askHolder(request).thenAccept(this::addGrant);
        }

        /** Requests the tokens that are still needed, if any. */
        CompletableFuture<Void> requestMissing(RateClaim claim) {
            return granted >= needed ? NO_REQUEST : request(claim, 0);
        }

        private void addGrant(Optional<TokenGrant> grant) {
            holderSilent |= grant.isEmpty();
            answered |= grant.isPresent();
            grant.ifPresent(present -> {
                granted += present.tokens();
                retryAfterMillis = Math.min(retryAfterMillis, present.retryAfterMillis());
            });
        }

        /** Returns the sum of the grants, empty if no holder answered. */
        Optional<TokenGrant> result() {
            if (!answered) {
                return Optional.empty();
            }
            return Optional.of(new TokenGrant(granted, granted >= needed ? 0 : Math.max(1, retryAfterMillis)));
        }
    }

    /**
     * Grants tokens of a claim of this node, or requests them from its holder. Completes empty if the holder is
     * unknown, is skipped, does not answer or no longer holds the claim.
     */
    private CompletableFuture<Optional<TokenGrant>> askHolder(Request request) {
        RateClaim claim = request.claim();
        Holder holder = holders.get(claim);
        if (tables.containsKey(claim)) {
            return CompletableFuture.completedFuture(grant(request));
        }
        long now = clock.millis();
        if (holder == null || holder.host().equals(self) || now < backoffUntil.getOrDefault(holder.host(), now)) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        return holderClient
                .requestTokens(holder.address(), request, ANSWER_TIMEOUT_MILLIS)
                .handle((grant, error) -> {
                    if (error != null || grant.isEmpty()) {
                        String reason = error == null ? "it does not have the claim" : error.getMessage();
                        LOG.info("rate: {} gave no tokens of {}: {}", holder.host(), claim.name(), reason);
                        backoffUntil.put(holder.host(), clock.millis() + HOLDER_BACKOFF_MILLIS);
                        return Optional.<TokenGrant>empty();
                    }
                    return grant;
                });
    }
}
