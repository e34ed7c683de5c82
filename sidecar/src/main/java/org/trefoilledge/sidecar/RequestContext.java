package org.trefoilledge.sidecar;

import java.util.Optional;
import org.trefoilledge.core.rate.TokenPool;
import org.trefoilledge.core.routing.HostRoute;
import org.trefoilledge.core.routing.OrganisationPolicy;
import org.trefoilledge.core.routing.RoutingConfig;

/** A request on its way through the filters. */
final class RequestContext {
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

    void setRoute(RoutingConfig current, HostRoute found) {
        config = current;
        route = found;
    }

    /** Returns the organisation whose key came with the request; empty on open routes. */
    Optional<OrganisationPolicy> organisation() {
        return organisation;
    }

    void organisation(OrganisationPolicy holder) {
        organisation = Optional.of(holder);
    }

    /** Returns whether an upstream made the request for one that it executes; only those carry no key. */
    boolean isNested() {
        return config.keyed() && organisation.isEmpty();
    }

    /** Returns the token of the organisation's rate that was taken for the request. */
    Optional<TokenPool.Token> token() {
        return token;
    }

    void token(TokenPool.Token taken) {
        token = Optional.of(taken);
    }

    String routeName() {
        return route == null ? "" : route.id().value();
    }

    String organisationName() {
        return organisation.map(policy -> policy.id().value()).orElse("");
    }

    /** Returns the rank of the request, 0 first; the organisation's rank goes before the route's. */
    int priority() {
        return organisation
                .filter(policy -> policy.priority().isPresent())
                .map(policy -> policy.priority().getAsInt())
                .orElse(route.priority());
    }
}
