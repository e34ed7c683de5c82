package org.trefoilledge.sidecar;

import java.util.List;
import java.util.Optional;
import org.trefoilledge.core.ErrorKind;
import org.trefoilledge.core.routing.HostRoute;
import org.trefoilledge.core.routing.OrganisationPolicy;
import org.trefoilledge.core.routing.RoutingConfig;
import org.trefoilledge.wire.generated.CallAnswer;

/** The filters that a request passes before it is placed, in their order. */
final class RequestFilters {
    /** Refusals that another read of the configuration may lift ask the caller to wait for this long. */
    private static final long CONFIG_RETRY_AFTER_MILLIS = 500;

    private RequestFilters() {}

    static List<RequestFilter> all(Knowledge knowledge, HeaderNames names, long keyAgeMillis) {
        return List.of(routeFilter(knowledge), keyFilter(knowledge, names, keyAgeMillis));
    }

    /** Finds the route in the newest configuration. */
    static RequestFilter routeFilter(Knowledge knowledge) {
        return entry -> {
            Optional<RoutingConfig> config = knowledge.config();
            if (config.isEmpty()) {
                return refuse(ErrorKind.NOT_READY, CONFIG_RETRY_AFTER_MILLIS, "no configuration is known");
            }
            Optional<HostRoute> route = config.get()
                    .route(entry.request().header("host"), entry.request().path());
            if (route.isEmpty()) {
                return refuse(
                        ErrorKind.UNKNOWN_ROUTE, 0, "version " + config.get().version() + " has no such route");
            }
            entry.setRoute(config.get(), route.get());
            return Optional.empty();
        };
    }

    /**
     * Finds the organisation that holds the key. A key counts only while the configuration is certainly recent.
     *
     * @param maxAgeMillis age of the configuration up to which a key can be trusted
     */
    static RequestFilter keyFilter(Knowledge knowledge, HeaderNames names, long maxAgeMillis) {
        return entry -> {
            if (entry.route().open() || !entry.config().keyed()) {
                return Optional.empty();
            }
            String key = entry.request().header(names.key());
            if (knowledge.ageMillis() > maxAgeMillis) {
                return refuse(
                        ErrorKind.KEY_UNVERIFIABLE,
                        CONFIG_RETRY_AFTER_MILLIS,
                        "the configuration is " + knowledge.ageMillis() + " ms old");
            }
            Optional<OrganisationPolicy> holder = entry.config().holder(key);
            if (holder.isEmpty()) {
                ErrorKind kind = key.isEmpty() ? ErrorKind.KEY_MISSING : ErrorKind.KEY_UNKNOWN;
                return refuse(kind, 0, "version " + entry.config().version() + " has no such key");
            }
            entry.organisation(holder.get());
            return Optional.empty();
        };
    }

    private static Optional<CallAnswer> refuse(ErrorKind kind, long retryAfterMillis, String reason) {
        return Optional.of(Refusals.refusal(kind, retryAfterMillis, reason));
    }
}
