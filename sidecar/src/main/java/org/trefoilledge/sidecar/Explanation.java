package org.trefoilledge.sidecar;

import java.util.List;
import java.util.Optional;
import org.trefoilledge.core.ErrorKind;
import org.trefoilledge.core.admission.AdmissionGate;
import org.trefoilledge.core.placement.PlacementExplanation;

/**
 * Where a request would go now, and the figures that decide it. Immutable.
 *
 * @param configVersion version of the configuration
 * @param organisation organisation of the key, empty if the request is accepted without a key
 * @param nested whether the request counts as a call of an upstream, to which the plan does not apply
 * @param filterRefusal refusal before the plan is asked, if any
 * @param plan what the admission plan means for the request, if it applies
 * @param tokens state of the organisation's rate limit, if it has one
 * @param destinations services of the route
 */
record Explanation(
        long configVersion,
        String route,
        String organisation,
        int rank,
        boolean nested,
        Optional<Refusal> filterRefusal,
        Optional<AdmissionGate.Preview> plan,
        Optional<RateLimits.View> tokens,
        List<Destination> destinations) {
    /** Copies the list. */
    Explanation {
        destinations = List.copyOf(destinations);
    }

    /** A refusal with its error kind and reason. */
    record Refusal(String kind, String reason) {}

    /**
     * A service that the request may go to.
     *
     * @param share fraction of the route's requests that go to the service
     */
    record Destination(String service, double share, PlacementExplanation placement) {}

    /** Returns the refusal that the request would get now; empty if it would be sent or would wait for a token. */
    Optional<Refusal> refusal() {
        if (filterRefusal.isPresent()) {
            return filterRefusal;
        }
        if (plan.isPresent() && !plan.get().nextAdmitted()) {
            return Optional.of(new Refusal(ErrorKind.OVERLOADED.name(), "the plan"));
        }
        if (tokens.isPresent() && !tokenIsHeld() && tokens.get().refusedMillis() > 0) {
            return Optional.of(
                    tokens.get().refusal() == RateLimits.Verdict.OVER_LIMIT
                            ? new Refusal(ErrorKind.RATE_LIMITED.name(), "over the rate")
                            : new Refusal(ErrorKind.NOT_READY.name(), "no owner of the limit"));
        }
        boolean noneLeft = destinations.stream()
                .allMatch(destination -> destination.placement().choice().isEmpty());
        return noneLeft
                ? Optional.of(new Refusal(ErrorKind.NO_UPSTREAM.name(), "no upstream is left"))
                : Optional.empty();
    }

    /** Returns whether the request would first wait for a token of its organisation's limit. */
    boolean waitsForToken() {
        return refusal().isEmpty() && tokens.isPresent() && !tokenIsHeld();
    }

    private boolean tokenIsHeld() {
        return tokens.map(view -> view.tokens() > 0 && view.waiting() == 0).orElse(false);
    }
}
