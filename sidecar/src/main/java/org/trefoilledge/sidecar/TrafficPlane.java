package org.trefoilledge.sidecar;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
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

/** Passes settings from the control thread to the traffic thread. All values that are passed are immutable. */
final class TrafficPlane implements RateClaims.ClaimHandler {
    private final EventLoop trafficLoop;
    private final UpstreamGate gate;
    private final Dispatcher dispatcher;
    private final Placer placer;
    private final TokenSource tokens;
    private final RateLimits rateLimits;
    private final AdmissionGate admission;
    private final ColdStartControl coldStart;
    private final ServiceId service;
    private volatile NodeLoad lastLoad;
    private AdmissionPlan lastPlan = AdmissionPlan.ADMIT_ALL;

    TrafficPlane(
            EventLoop trafficLoop,
            UpstreamGate gate,
            Dispatcher dispatcher,
            Placer placer,
            TokenSource tokens,
            RateLimits rateLimits,
            AdmissionGate admission,
            ColdStartControl coldStart,
            ServiceId service) {
        this.trafficLoop = trafficLoop;
        this.gate = gate;
        this.dispatcher = dispatcher;
        this.placer = placer;
        this.tokens = tokens;
        this.rateLimits = rateLimits;
        this.admission = admission;
        this.coldStart = coldStart;
        this.service = service;
        this.lastLoad = NodeLoad.of(service, 0, 0, 0, Map.of(), Map.of());
    }

    void setUpstream(LocalUpstream current) {
        trafficLoop.execute(() -> gate.upstream(current));
    }

    /** Passes on the newest announcement, for the limit of requests while the upstream is cold. */
    void announceCold(Announcement.Heartbeat heartbeat) {
        trafficLoop.execute(() -> coldStart.announce(heartbeat));
    }

    /** Returns whether the gate has treated the upstream as cold for so long that other nodes should do so. */
    boolean isUpstreamCold() {
        return coldStart.isPublishedCold();
    }

    /** Makes the gate refuse all calls for the given reason. */
    void closeGate(String reason) {
        trafficLoop.execute(() -> gate.close(reason));
    }

    /**
     * Makes the gate accept calls again.
     *
     * @param afterEvacuation whether the zone was evacuated meanwhile, so that the upstream may be cold
     */
    void openGate(boolean afterEvacuation) {
        trafficLoop.execute(() -> {
            if (afterEvacuation) {
                coldStart.suspect("the evacuation of its zone was revoked");
            }
            gate.open();
        });
    }

    /** Sets the services whose upstreams are all in evacuated zones. */
    void setEmptiedServices(Set<ServiceId> services) {
        trafficLoop.execute(() -> dispatcher.emptiedServices(services));
    }

    void setCandidates(List<Candidate> candidates) {
        placer.updateCandidates(candidates);
    }

    void setRetryBudget(double ratio, double reserve) {
        trafficLoop.execute(() -> dispatcher.setRetryBudget(ratio, reserve));
    }

    void setUnreachableHosts(Set<HostId> hosts) {
        trafficLoop.execute(() -> dispatcher.unreachableHosts(hosts));
    }

    /** Sets the admission plan. An unchanged plan does not wake the traffic thread. */
    void setAdmissionPlan(AdmissionPlan plan) {
        if (!plan.equals(lastPlan)) {
            lastPlan = plan;
            trafficLoop.execute(() -> admission.plan(plan));
        }
    }

    /** Returns the number of classes that the plan in force limits by retries. Used on the control thread. */
    int classesLimitedByRetries() {
        return lastPlan.limitedByRetries().size();
    }

    /** Applies a configuration: the queue weights and rate limits of organisations, the policy of the local service. */
    void applyConfig(RoutingConfig config) {
        Map<OrganisationId, Double> weights = new HashMap<>();
        for (OrganisationPolicy policy : config.organisations().values()) {
            weights.put(policy.id(), Math.max(1, policy.ratePerSecond()));
        }
        List<OrganisationPolicy> limited = config.organisations().values().stream()
                .filter(OrganisationPolicy::hasRateLimit)
                .toList();
        trafficLoop.execute(() -> {
            gate.organisationWeights(weights);
            coldStart.configure(config.service(service));
            tokens.configure(limited);
            rateLimits.retain(weights.keySet());
        });
    }

    /** Grants tokens of a claim until the given time. */
    @Override
    public void hold(RateClaim claim, long untilMillis) {
        trafficLoop.execute(() -> tokens.hold(claim, untilMillis));
    }

    /** Stops granting tokens of a claim. Returns a future that completes once no more are granted. */
    @Override
    public CompletableFuture<Void> release(RateClaim claim) {
        return CompletableFuture.runAsync(() -> tokens.release(claim), trafficLoop);
    }

    void setClaimHolders(Map<RateClaim, TokenSource.Holder> holders) {
        trafficLoop.execute(() -> tokens.holders(holders));
    }

    /** Returns whether calls wait or find no upstream, or requests surge. Does not wake the traffic thread. */
    boolean isUnderPressure() {
        return gate.isUnderPressure();
    }

    /** Makes the traffic thread end the current interval, and passes its load to the receiver on the given executor. */
    void sampleLoad(Executor control, Consumer<NodeLoad> receiver) {
        trafficLoop.execute(() -> {
            // The receiver waits for this call; without it, the node would never report again.
            Repeated.runAndLogErrors(() -> lastLoad = gate.sampleLoad());
            NodeLoad load = lastLoad;
            control.execute(() -> receiver.accept(load));
        });
    }

    /** Returns the load of the last completed interval, and makes the traffic thread end the current one. */
    NodeLoad pollLoad() {
        trafficLoop.execute(() -> lastLoad = gate.sampleLoad());
        return lastLoad;
    }
}
