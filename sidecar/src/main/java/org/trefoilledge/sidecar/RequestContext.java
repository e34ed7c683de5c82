package org.trefoilledge.sidecar;

import java.util.Optional;
import org.trefoilledge.core.rate.TokenPool;
import org.trefoilledge.core.routing.HostRoute;
import org.trefoilledge.core.routing.OrganisationPolicy;
import org.trefoilledge.core.routing.RoutingConfig;

/** A request with the route, organisation and rate limit token that were found for it. */
final class RequestContext {
    /** Number of route priorities that are distinguished. */
    private static final int ROUTE_PRIORITIES = 4;

    private final CallerRequest request;
    private final String id;
    private RoutingConfig config;
    private HostRoute route;
    private Optional<OrganisationPolicy> organisation = Optional.empty();
    private Optional<TokenPool.Token> token = Optional.empty();

    RequestContext(CallerRequest request, String id) {
        this.request = request;
        this.id = id;
    }

    CallerRequest request() {
        return request;
    }

    String id() {
        return id;
    }

    RoutingConfig config() {
        return config;
    }

    HostRoute route() {
        return route;
    }

    /** Sets the route, and the configuration that it belongs to. */
    void setRoute(RoutingConfig routingConfig, HostRoute hostRoute) {
        config = routingConfig;
        route = hostRoute;
    }

    /** Returns the organisation that the key of the request belongs to, if the request has one. */
    Optional<OrganisationPolicy> organisation() {
        return organisation;
    }

    /** Sets the organisation that the key of the request belongs to. */
    void organisation(OrganisationPolicy holder) {
        organisation = Optional.of(holder);
    }

    /** Returns whether an upstream sent the request during an execution: only such requests carry no key. */
    boolean isNested() {
        return config.requiresKeys() && organisation.isEmpty();
    }

    /** Returns the token of the organisation's rate limit that was taken for the request. */
    Optional<TokenPool.Token> token() {
        return token;
    }

    /** Sets the token that was taken for the request. */
    void token(TokenPool.Token taken) {
        token = Optional.of(taken);
    }

    /**
     * Returns the longest time for which the caller waits: the timeout of the route, or the caller's own if it is shorter.
     *
     * @param deadlineHeader name of the header in which the caller states its timeout
     */
    long timeoutMillis(String deadlineHeader) {
        return Math.min(route.timeoutMillis(), callerTimeoutMillis(request.header(deadlineHeader)));
    }

    /** Returns the timeout that a header states, or the maximum value if it is absent or invalid. */
    private static long callerTimeoutMillis(String text) {
        try {
            return text.isEmpty() ? Long.MAX_VALUE : Math.max(0, Long.parseLong(text.strip()));
        } catch (NumberFormatException e) {
            return Long.MAX_VALUE;
        }
    }

    /** Returns the id of the route, or an empty string if none has been found. */
    String routeName() {
        return route == null ? "" : route.id().value();
    }

    /** Returns the id of the organisation, or an empty string if the request has none. */
    String organisationName() {
        return organisation.map(policy -> policy.id().value()).orElse("");
    }

    /**
     * Returns the rank of the request among those that compete for admission; 0 is the highest. The organisation's
     * priority decides first, if it has one, and the route's priority between requests that are equal there.
     */
    int rank() {
        return priority() * ROUTE_PRIORITIES + Math.min(ROUTE_PRIORITIES - 1, route.priority());
    }

    /** Returns the priority of the request; 0 is the highest. The organisation's priority overrides the route's. */
    int priority() {
        return organisation
                .filter(policy -> policy.priority().isPresent())
                .map(policy -> policy.priority().getAsInt())
                .orElse(route.priority());
    }
}
