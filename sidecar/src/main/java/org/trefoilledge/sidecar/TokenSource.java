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
import org.trefoilledge.core.rate.RateClaim;
import org.trefoilledge.core.rate.RateTolerance;
import org.trefoilledge.core.rate.TokenGrant;
import org.trefoilledge.core.rate.TokenTable;
import org.trefoilledge.core.routing.OrganisationPolicy;

/**
 * Gives the tokens of the claims that this node has, and asks the holders of the others: first the owners of the two
 * parts of the organisation's limit and, if one is silent, the reserve of the own zone. Used on the traffic thread.
 */
final class TokenSource implements RateLimits.Source {
    private static final Logger LOG = LoggerFactory.getLogger(TokenSource.class);
    /** Time for a holder to answer; within a region it takes a few milliseconds, on a busy processor some tens. */
    private static final long ANSWER_TIMEOUT_MILLIS = 60;
    /** Time for which a holder that did not answer, or has lost its claim, is not asked. */
    private static final long HOLDER_BACKOFF_MILLIS = 500;

    private static final CompletableFuture<Void> NO_REQUEST = CompletableFuture.completedFuture(null);

    private final HostId self;
    private final RateClaim ownReserve;
    private final RateTolerance tolerance;
    private final Clock clock;
    private final HolderClient holderClient;
    private final Map<RateClaim, TokenTable> tables = new HashMap<>();
    private final Map<HostId, Long> backoffUntil = new HashMap<>();
    private Map<RateClaim, Holder> holders = Map.of();
    private List<OrganisationPolicy> limitedPolicies = List.of();

    /** Asks another node. */
    @FunctionalInterface
    interface HolderClient {
        CompletableFuture<Optional<TokenGrant>> requestTokens(String address, Request question, long timeoutMillis);
    }

    /**
     * What is asked of another node.
     *
     * @param claim the claim that is asked
     */
    record Request(RateClaim claim, OrganisationId organisation, int needed, int ahead) {}

    /** Who has a claim, and the address at which it is asked. */
    record Holder(HostId host, String address) {}

    /**
     * @param clock counts suspensions, because another node may take a claim over during one
     */
    TokenSource(HostId self, ZoneId zone, RateTolerance tolerance, Clock clock, HolderClient asker) {
        this.self = self;
        this.ownReserve = RateClaim.reserve(zone);
        this.tolerance = tolerance;
        this.clock = clock;
        this.holderClient = asker;
    }

    /** Takes the limits that are in force. */
    void configure(List<OrganisationPolicy> policies) {
        limitedPolicies = policies;
        tables.forEach(this::configure);
    }

    /** Takes the holders of all claims that can be reached. */
    void holders(Map<RateClaim, Holder> current) {
        holders = current;
    }

    /** Starts to give the tokens of a claim, with new buckets unless this node has had the claim all the time. */
    void hold(RateClaim claim, long untilMillis) {
        TokenTable table = tables.get(claim);
        if (table == null) {
            LOG.info("rate: this node has the claim {}", claim.name());
            table = claim.isReserve() ? TokenTable.ofReserve(tolerance) : TokenTable.ofOwner(tolerance);
            tables.put(claim, table);
            configure(claim, table);
        }
        table.validUntil(untilMillis);
    }

    /** Gives no more tokens of a claim. */
    void release(RateClaim claim) {
        if (tables.remove(claim) != null) {
            LOG.info("rate: this node no longer has the claim {}", claim.name());
        }
    }

    private void configure(RateClaim claim, TokenTable table) {
        List<OrganisationPolicy> covered = new ArrayList<>();
        for (OrganisationPolicy policy : limitedPolicies) {
            if (claim.isReserve() || RateClaim.of(policy.id()).contains(claim)) {
                covered.add(policy);
            }
        }
        table.configure(covered, clock.millis());
    }

    /** Answers another node. */
    Optional<TokenGrant> grant(Request question) {
        TokenTable table = tables.get(question.claim());
        return table == null
                ? Optional.empty()
                : table.give(question.organisation(), question.needed(), question.ahead(), clock.millis());
    }

    @Override
    public CompletableFuture<Optional<TokenGrant>> requestTokens(OrganisationId organisation, int needed, int ahead) {
        List<RateClaim> parts = RateClaim.of(organisation);
        int first = preferredPart(parts);
        TokenSearch inquiry = new TokenSearch(organisation, needed);
        return inquiry.request(parts.get(first), ahead)
                .thenCompose(done -> inquiry.requestMissing(parts.get(1 - first)))
                .thenCompose(done -> inquiry.holderSilent ? inquiry.requestMissing(ownReserve) : NO_REQUEST)
                .thenApply(done -> inquiry.result());
    }

    /** Returns the part to ask first: one that is here, else one part for each half of the nodes. */
    private int preferredPart(List<RateClaim> parts) {
        if (tables.containsKey(parts.get(0))) {
            return 0;
        }
        return tables.containsKey(parts.get(1)) ? 1 : self.hashCode() & 1;
    }

    /** One search for tokens over several holders. */
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
            Request question = new Request(claim, organisation, Math.max(0, needed - granted), ahead);
            return TokenSource.this.askHolder(question).thenAccept(this::addGrant);
        }

        CompletableFuture<Void> requestMissing(RateClaim claim) {
            return granted >= needed ? NO_REQUEST : request(claim, 0);
        }

        private void addGrant(Optional<TokenGrant> grant) {
            holderSilent |= grant.isEmpty();
            answered |= grant.isPresent();
            grant.ifPresent(more -> {
                granted += more.tokens();
                retryAfterMillis = Math.min(retryAfterMillis, more.retryAfterMillis());
            });
        }

        Optional<TokenGrant> result() {
            if (!answered) {
                return Optional.empty();
            }
            return Optional.of(new TokenGrant(granted, granted >= needed ? 0 : Math.max(1, retryAfterMillis)));
        }
    }

    private CompletableFuture<Optional<TokenGrant>> askHolder(Request question) {
        RateClaim claim = question.claim();
        Holder holder = holders.get(claim);
        if (tables.containsKey(claim)) {
            return CompletableFuture.completedFuture(grant(question));
        }
        long now = clock.millis();
        if (holder == null || holder.host().equals(self) || now < backoffUntil.getOrDefault(holder.host(), now)) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        return holderClient
                .requestTokens(holder.address(), question, ANSWER_TIMEOUT_MILLIS)
                .handle((grant, error) -> {
                    if (error != null || grant.isEmpty()) {
                        String why = error == null ? "it does not have the claim" : error.getMessage();
                        LOG.info("rate: {} gave no tokens of {}: {}", holder.host(), claim.name(), why);
                        backoffUntil.put(holder.host(), clock.millis() + HOLDER_BACKOFF_MILLIS);
                        return Optional.<TokenGrant>empty();
                    }
                    return grant;
                });
    }
}
