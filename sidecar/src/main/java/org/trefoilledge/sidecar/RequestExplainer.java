package org.trefoilledge.sidecar;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.trefoilledge.core.Clock;
import org.trefoilledge.core.ErrorKind;
import org.trefoilledge.core.ServiceId;
import org.trefoilledge.core.admission.AdmissionGate;
import org.trefoilledge.core.admission.RequestClass;
import org.trefoilledge.core.placement.PlacementExplanation;
import org.trefoilledge.core.routing.OrganisationPolicy;
import org.trefoilledge.core.routing.TrafficSplit;
import org.trefoilledge.wire.generated.CallAnswer;

/**
 * Explains where a request would go now. Asks the objects that decide on callers' requests, without changing them. Not
 * thread-safe: used on the traffic thread only.
 */
final class RequestExplainer {
    private static final byte[] NO_BODY = new byte[0];

    private final List<RequestFilter> filters;
    private final ConfigState config;
    private final HeaderNames headerNames;
    private final AdmissionGate admission;
    private final RateLimits rateLimits;
    private final Function<ServiceId, PlacementExplanation> placement;
    private final Clock clock;

    RequestExplainer(
            List<RequestFilter> filters,
            ConfigState config,
            HeaderNames headerNames,
            AdmissionGate admission,
            RateLimits rateLimits,
            Function<ServiceId, PlacementExplanation> placement,
            Clock clock) {
        this.filters = filters;
        this.config = config;
        this.headerNames = headerNames;
        this.admission = admission;
        this.rateLimits = rateLimits;
        this.placement = placement;
        this.clock = clock;
    }

    /**
     * The request in question.
     *
     * @param key key of the caller, empty if it has none
     */
    record Query(String method, String host, String path, String key) {
        /** Leaves out the key, which must not be logged. */
        @Override
        public String toString() {
            return method + ' ' + host + path;
        }
    }

    /** Indicates that no request like the one in question exists; its message does not contain the key. */
    static final class UnknownRequestException extends Exception {
        private static final long serialVersionUID = 1;

        UnknownRequestException(String message) {
            super(message);
        }
    }

    /**
     * Explains a request.
     *
     * @throws UnknownRequestException if host, path or key are unknown, or no configuration is
     */
    Explanation explain(Query query) throws UnknownRequestException {
        RequestContext context = new RequestContext(toRequest(query), "");
        Optional<CallAnswer> refusal = Optional.empty();
        for (RequestFilter filter : filters) {
            refusal = filter.check(context);
            if (refusal.isPresent()) {
                break;
            }
        }
        if (refusal.isPresent()) {
            checkKnown(query, refusal.get());
        }
        return explain(context, refusal.map(r -> new Explanation.Refusal(r.getRefusal(), r.getRefusalReason())));
    }

    private Explanation explain(RequestContext context, Optional<Explanation.Refusal> refusal) {
        Optional<AdmissionGate.Preview> plan = refusal.isPresent() || context.isNested()
                ? Optional.empty()
                : Optional.of(admission.preview(new RequestClass(context.route().id(), context.rank())));
        return new Explanation(
                context.config().version(),
                context.routeName(),
                context.organisationName(),
                context.rank(),
                refusal.isEmpty() && context.isNested(),
                refusal,
                plan,
                context.organisation()
                        .filter(OrganisationPolicy::hasRateLimit)
                        .map(policy -> rateLimits.view(policy.id())),
                destinations(context.route().trafficSplit()));
    }

    private List<Explanation.Destination> destinations(TrafficSplit split) {
        double total = split.destinations().stream()
                .mapToDouble(TrafficSplit.Destination::weight)
                .sum();
        List<Explanation.Destination> explained = new ArrayList<>();
        for (TrafficSplit.Destination destination : split.destinations()) {
            if (destination.weight() > 0) {
                explained.add(new Explanation.Destination(
                        destination.service().value(),
                        destination.weight() / total,
                        placement.apply(destination.service())));
            }
        }
        return explained;
    }

    private CallerRequest toRequest(Query query) {
        // Without validation, whose error messages quote the value.
        HttpHeaders headers =
                DefaultHttpHeadersFactory.headersFactory().withValidation(false).newHeaders();
        headers.set("host", query.host());
        if (!query.key().isEmpty()) {
            headers.set(headerNames.key(), query.key());
        }
        return new CallerRequest(query.method(), query.path(), headers, NO_BODY, clock.millis());
    }

    private void checkKnown(Query query, CallAnswer refusal) throws UnknownRequestException {
        if (Refusals.isRefusal(refusal, ErrorKind.NOT_READY)) {
            throw new UnknownRequestException("this node has no configuration yet");
        }
        String version = "version " + config.version() + " of the configuration ";
        if (Refusals.isRefusal(refusal, ErrorKind.UNKNOWN_ROUTE)) {
            boolean knownHost = config.config()
                    .map(current -> current.hasHost(query.host()))
                    .orElse(false);
            throw new UnknownRequestException(version
                    + (knownHost
                            ? "has no route of host " + query.host() + " for the path " + query.path()
                            : "has no route of the host " + query.host()));
        }
        if (Refusals.isRefusal(refusal, ErrorKind.KEY_MISSING)) {
            throw new UnknownRequestException("the route needs a key, and none was given");
        }
        if (Refusals.isRefusal(refusal, ErrorKind.KEY_UNKNOWN)) {
            throw new UnknownRequestException(version + "has no such key");
        }
    }
}
