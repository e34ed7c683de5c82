package org.trefoilledge.sidecar;

import java.util.List;
import java.util.Optional;
import org.trefoilledge.core.ErrorKind;
import org.trefoilledge.core.routing.HostRoute;
import org.trefoilledge.core.routing.OrganisationPolicy;
import org.trefoilledge.core.routing.RoutingConfig;
import org.trefoilledge.wire.generated.CallAnswer;

/** The filters that a request passes before it is placed, in their order. */
final class EntryFilters {
    /** Refusals that another read of the configuration may lift ask the caller to wait for this long. */
    private static final long UNVERIFIED_RETRY_MILLIS = 500;

    private EntryFilters() {}

    static List<EntryFilter> all(Knowledge knowledge, HeaderNames names, long keyAgeMillis) {
        return List.of(route(knowledge), key(knowledge, names, keyAgeMillis));
    }

    /** Finds the route in the newest configuration. */
    static EntryFilter route(Knowledge knowledge) {
        return entry -> {
            Optional<RoutingConfig> config = knowledge.config();
            if (config.isEmpty()) {
                return refused(ErrorKind.NOT_READY, UNVERIFIED_RETRY_MILLIS, "no configuration is known");
            }
            Optional<HostRoute> route = config.get()
                    .route(entry.request().header("host"), entry.request().path());
            if (route.isEmpty()) {
                return refused(
                        ErrorKind.UNKNOWN_ROUTE, 0, "version " + config.get().version() + " has no such route");
            }
            entry.routed(config.get(), route.get());
            return Optional.empty();
        };
    }

    /**
     * Finds the organisation that holds the key. A key counts only while the configuration is certainly recent.
     *
     * @param maxAgeMillis age of the configuration up to which a key can be trusted
     */
    static EntryFilter key(Knowledge knowledge, HeaderNames names, long maxAgeMillis) {
        return entry -> {
            if (entry.route().open() || !entry.config().keyed()) {
                return Optional.empty();
            }
            String key = entry.request().header(names.key());
            if (knowledge.ageMillis() > maxAgeMillis) {
                return refused(
                        ErrorKind.KEY_UNVERIFIABLE,
                        UNVERIFIED_RETRY_MILLIS,
                        "the configuration is " + knowledge.ageMillis() + " ms old");
            }
            Optional<OrganisationPolicy> holder = entry.config().holder(key);
            if (holder.isEmpty()) {
                ErrorKind kind = key.isEmpty() ? ErrorKind.KEY_MISSING : ErrorKind.KEY_UNKNOWN;
                return refused(kind, 0, "version " + entry.config().version() + " has no such key");
            }
            entry.organisation(holder.get());
            return Optional.empty();
        };
    }

    private static Optional<CallAnswer> refused(ErrorKind kind, long retryAfterMillis, String reason) {
        return Optional.of(Refusals.refusal(kind, retryAfterMillis, reason));
    }
}
