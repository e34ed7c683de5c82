package org.trefoilledge.sidecar;

import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.trefoilledge.core.ErrorKind;
import org.trefoilledge.core.routing.HostRoute;
import org.trefoilledge.core.routing.OrganisationPolicy;
import org.trefoilledge.core.routing.RoutingConfig;
import org.trefoilledge.wire.generated.CallAnswer;

/** Creates the filters that a request must pass before it is dispatched. */
final class RequestFilters {
    /** Retry delay after refusals that a newer configuration may lift. */
    private static final long CONFIG_RETRY_AFTER_MILLIS = 500;

    /** Retry delay after refusals by a node that stops: the time for the rest of the stop and a restart. */
    private static final long RESTART_RETRY_AFTER_MILLIS = 2_000;

    private RequestFilters() {}

    /** Returns all filters, in the order of their application. */
    static List<RequestFilter> all(
            ConfigState knowledge,
            HeaderNames headerNames,
            long maxConfigAgeMillis,
            Supplier<Optional<StopPlan>> stopPlan) {
        return List.of(
                routeFilter(knowledge),
                keyFilter(knowledge, headerNames, maxConfigAgeMillis),
                stopFilter(stopPlan, headerNames));
    }

    /** Returns a filter that looks up the route in the newest configuration. */
    static RequestFilter routeFilter(ConfigState knowledge) {
        return context -> {
            Optional<RoutingConfig> config = knowledge.config();
            if (config.isEmpty()) {
                return refuse(ErrorKind.NOT_READY, CONFIG_RETRY_AFTER_MILLIS, "no configuration is known");
            }
            Optional<HostRoute> route = config.get()
                    .findRoute(
                            context.request().header("host"), context.request().path());
            if (route.isEmpty()) {
                return refuse(
                        ErrorKind.UNKNOWN_ROUTE, 0, "version " + config.get().version() + " has no such route");
            }
            context.setRoute(config.get(), route.get());
            return Optional.empty();
        };
    }

    /**
     * Returns a filter that looks up the organisation of the key. It refuses all keys if the configuration is too old,
     * because a key may have been withdrawn since.
     *
     * @param maxConfigAgeMillis maximum age of the configuration by which a key is verified
     */
    static RequestFilter keyFilter(ConfigState knowledge, HeaderNames headerNames, long maxConfigAgeMillis) {
        return context -> {
            if (context.route().open() || !context.config().requiresKeys()) {
                return Optional.empty();
            }
            String key = context.request().header(headerNames.key());
            if (knowledge.ageMillis() > maxConfigAgeMillis) {
                return refuse(
                        ErrorKind.KEY_UNVERIFIABLE,
                        CONFIG_RETRY_AFTER_MILLIS,
                        "the configuration is " + knowledge.ageMillis() + " ms old");
            }
            Optional<OrganisationPolicy> holder = context.config().organisationByKey(key);
            if (holder.isEmpty()) {
                ErrorKind kind = key.isEmpty() ? ErrorKind.KEY_MISSING : ErrorKind.KEY_UNKNOWN;
                return refuse(kind, 0, "version " + context.config().version() + " has no such key");
            }
            context.organisation(holder.get());
            return Optional.empty();
        };
    }

    /** Returns a filter that refuses requests that a stopping node may not be able to answer in the time left. */
    static RequestFilter stopFilter(Supplier<Optional<StopPlan>> stopPlan, HeaderNames headerNames) {
        return context -> {
            long received = context.request().receivedMillis();
            long timeout = context.timeoutMillis(headerNames.deadlineMillis());
            boolean accepted =
                    stopPlan.get().map(plan -> plan.accepts(received, timeout)).orElse(true);
            return accepted
                    ? Optional.empty()
                    : refuse(ErrorKind.DRAINING, RESTART_RETRY_AFTER_MILLIS, "the node is stopping");
        };
    }

    private static Optional<CallAnswer> refuse(ErrorKind kind, long retryAfterMillis, String reason) {
        return Optional.of(Refusals.refusal(kind, retryAfterMillis, reason));
    }
}
