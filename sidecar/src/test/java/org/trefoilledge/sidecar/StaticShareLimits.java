package org.trefoilledge.sidecar;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import org.trefoilledge.core.Clock;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.OrganisationId;
import org.trefoilledge.core.ZoneId;
import org.trefoilledge.core.routing.OrganisationPolicy;

/**
 * An alternative for comparison: each node, or each zone, has a fixed, equal share of every limit and of the tolerance.
 * Nothing is exchanged between nodes, so only a restart has an effect: it empties the buckets of a node.
 */
final class StaticShareLimits implements LimitMechanism {
    private final Clock clock;
    private final FleetShape shape;
    private final int shares;
    private final Function<HostId, String> bucketGroup;
    private final Map<String, double[]> buckets = new HashMap<>();
    private final Map<OrganisationId, OrganisationPolicy> policies = new HashMap<>();

    private StaticShareLimits(Clock clock, FleetShape shape, int shares, Function<HostId, String> bucketGroup) {
        this.clock = clock;
        this.shape = shape;
        this.shares = shares;
        this.bucketGroup = bucketGroup;
        shape.policies().forEach(policy -> policies.put(policy.id(), policy));
    }

    static StaticShareLimits byNode(Clock clock, FleetShape shape) {
        return new StaticShareLimits(clock, shape, shape.nodes(), HostId::value);
    }

    static StaticShareLimits byZone(Clock clock, FleetShape shape) {
        Map<HostId, String> zones = new HashMap<>();
        for (int i = 0; i < shape.nodes(); i++) {
            zones.put(shape.host(i), shape.zone(i).value());
        }
        return new StaticShareLimits(clock, shape, shape.zoneCount(), zones::get);
    }

    @Override
    public void request(HostId node, OrganisationId organisation, Consumer<Boolean> onDecision) {
        OrganisationPolicy policy = policies.get(organisation);
        double[] bucket = buckets.computeIfAbsent(bucketGroup.apply(node) + '/' + organisation, key -> new double[2]);
        double depth = (policy.burst() * (1 + shape.over()) + shape.slack()) / shares;
        double perMilli = policy.ratePerSecond() * (1 + shape.over()) / shares / 1_000;
        bucket[0] = Math.min(depth, bucket[0] + (clock.millis() - bucket[1]) * perMilli);
        bucket[1] = clock.millis();
        boolean granted = bucket[0] >= 1;
        bucket[0] -= granted ? 1 : 0;
        onDecision.accept(granted);
    }

    @Override
    public boolean acceptsRequests(HostId node) {
        return true;
    }

    @Override
    public void isolateZone(Optional<ZoneId> zone) {}

    @Override
    public void setStoreUnavailable(boolean unavailable) {}

    @Override
    public void restart(HostId host, int incarnation) {
        buckets.entrySet().removeIf(bucket -> bucket.getKey().startsWith(host.value() + '/'));
    }

    @Override
    public void pauseOwner(OrganisationId organisation, long millis) {}
}
