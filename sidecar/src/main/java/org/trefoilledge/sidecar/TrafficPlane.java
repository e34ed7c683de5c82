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
    private final EventLoop trafficLoop;
    private final UpstreamGate gate;
    private final Dispatcher dispatcher;
    private final Placer placer;
    private final TokenSource tokens;
    private final RateLimits rateLimits;
    private final AdmissionGate admission;
    private volatile NodeLoad lastLoad;
    private AdmissionPlan lastPlan = AdmissionPlan.ALL;

    TrafficPlane(
            EventLoop traffic,
            UpstreamGate gate,
            Dispatcher dispatcher,
            Placer placer,
            TokenSource tokens,
            RateLimits limits,
            AdmissionGate admission,
            ServiceId service) {
        this.trafficLoop = traffic;
        this.gate = gate;
        this.dispatcher = dispatcher;
        this.placer = placer;
        this.tokens = tokens;
        this.rateLimits = limits;
        this.admission = admission;
        this.lastLoad = NodeLoad.of(service, 0, 0, 0, Map.of(), Map.of());
    }

    void setUpstream(LocalUpstream current) {
        trafficLoop.execute(() -> gate.upstream(current));
    }

    void setCandidates(List<Candidate> candidates) {
        placer.update(candidates);
    }

    void setRetryBudget(double ratio, double reserve) {
        trafficLoop.execute(() -> dispatcher.setRetryBudget(ratio, reserve));
    }

    void setUnreachableHosts(Set<HostId> hosts) {
        trafficLoop.execute(() -> dispatcher.unreachableHosts(hosts));
    }

    /** Sets the plan; the same plan again wakes nobody. */
    void setAdmissionPlan(AdmissionPlan plan) {
        if (!plan.equals(lastPlan)) {
            lastPlan = plan;
            trafficLoop.execute(() -> admission.plan(plan));
        }
    }

    void applyConfig(RoutingConfig config) {
        Map<OrganisationId, Double> weights = new HashMap<>();
        for (OrganisationPolicy policy : config.organisations().values()) {
            weights.put(policy.id(), Math.max(1, policy.ratePerSecond()));
        }
        List<OrganisationPolicy> limited = config.organisations().values().stream()
                .filter(OrganisationPolicy::limited)
                .toList();
        trafficLoop.execute(() -> {
            gate.organisationWeights(weights);
            tokens.configure(limited);
            rateLimits.retain(weights.keySet());
        });
    }

    void holdClaim(RateClaim claim, long untilMillis) {
        trafficLoop.execute(() -> tokens.hold(claim, untilMillis));
    }

    /** Returns a future that completes when no more tokens of the claim are given. */
    CompletableFuture<Void> releaseClaim(RateClaim claim) {
        return CompletableFuture.runAsync(() -> tokens.release(claim), trafficLoop);
    }

    void setClaimHolders(Map<RateClaim, TokenSource.Holder> holders) {
        trafficLoop.execute(() -> tokens.holders(holders));
    }

    /** Returns whether calls wait here, or requests surge; wakes nobody. */
    boolean isUnderPressure() {
        return gate.isUnderPressure();
    }

    /** Returns the load of the interval that ended last, and ends the present one. */
    NodeLoad pollLoad() {
        trafficLoop.execute(() -> lastLoad = gate.sampleLoad());
        return lastLoad;
    }
}
