package org.trefoilledge.sidecar;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.OrganisationId;
import org.trefoilledge.core.ServiceId;
import org.trefoilledge.core.admission.AdmissionGate;
import org.trefoilledge.core.admission.AdmissionPlan;
import org.trefoilledge.core.admission.NodeLoad;
import org.trefoilledge.core.placement.Candidate;
import org.trefoilledge.core.placement.Placer;
import org.trefoilledge.core.rate.RateClaim;
import org.trefoilledge.core.routing.OrganisationPolicy;
import org.trefoilledge.core.routing.RoutingConfig;

/** What the control thread sets on the traffic thread. Every value that is handed over is immutable. */
final class TrafficPlane {
    private final EventLoop traffic;
    private final Gate gate;
    private final Dispatcher dispatcher;
    private final Placer placer;
    private final TokenSource tokens;
    private final RateLimits limits;
    private final AdmissionGate admission;
    private volatile NodeLoad load;
    private AdmissionPlan shownPlan = AdmissionPlan.ALL;

    TrafficPlane(
            EventLoop traffic,
            Gate gate,
            Dispatcher dispatcher,
            Placer placer,
            TokenSource tokens,
            RateLimits limits,
            AdmissionGate admission,
            ServiceId service) {
        this.traffic = traffic;
        this.gate = gate;
        this.dispatcher = dispatcher;
        this.placer = placer;
        this.tokens = tokens;
        this.limits = limits;
        this.admission = admission;
        this.load = NodeLoad.of(service, 0, 0, 0, Map.of(), Map.of());
    }

    void upstream(LocalUpstream current) {
        traffic.execute(() -> gate.upstream(current));
    }

    void candidates(List<Candidate> candidates) {
        placer.update(candidates);
    }

    void retryBudget(double ratio, double reserve) {
        traffic.execute(() -> dispatcher.retryBudget(ratio, reserve));
    }

    void unreachable(Set<HostId> hosts) {
        traffic.execute(() -> dispatcher.unreachable(hosts));
    }

    /** Sets the plan; the same plan again wakes nobody. */
    void plan(AdmissionPlan plan) {
        if (!plan.equals(shownPlan)) {
            shownPlan = plan;
            traffic.execute(() -> admission.plan(plan));
        }
    }

    void configured(RoutingConfig config) {
        Map<OrganisationId, Double> weights = new HashMap<>();
        for (OrganisationPolicy policy : config.organisations().values()) {
            weights.put(policy.id(), Math.max(1, policy.ratePerSecond()));
        }
        List<OrganisationPolicy> limited = config.organisations().values().stream()
                .filter(OrganisationPolicy::limited)
                .toList();
        traffic.execute(() -> {
            gate.weights(weights);
            tokens.configure(limited);
            limits.retain(weights.keySet());
        });
    }

    void hold(RateClaim claim, long untilMillis) {
        traffic.execute(() -> tokens.hold(claim, untilMillis));
    }

    /** Returns a future that completes when no more tokens of the claim are given. */
    CompletableFuture<Void> release(RateClaim claim) {
        return CompletableFuture.runAsync(() -> tokens.release(claim), traffic);
    }

    void holders(Map<RateClaim, TokenSource.Holder> holders) {
        traffic.execute(() -> tokens.holders(holders));
    }

    /** Returns whether calls wait here, or requests surge; wakes nobody. */
    boolean pressing() {
        return gate.pressing();
    }

    /** Returns the load of the interval that ended last, and ends the present one. */
    NodeLoad nextLoad() {
        traffic.execute(() -> load = gate.sample());
        return load;
    }
}
