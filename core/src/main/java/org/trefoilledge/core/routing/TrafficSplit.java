package org.trefoilledge.core.routing;

import java.util.List;
import java.util.Objects;
import org.trefoilledge.core.ServiceId;

/** The services of a route, each with the weight of the requests that it receives. Immutable. */
public final class TrafficSplit {
    private final List<Destination> destinations;
    private final double totalWeight;

    /** A service and its weight relative to the other destinations. */
    public record Destination(ServiceId service, double weight) {
        /** Checks that the weight is finite and not negative. */
        public Destination {
            Objects.requireNonNull(service, "service");
            if (!(weight >= 0) || Double.isInfinite(weight)) {
                throw new IllegalArgumentException(
                        "weight of " + service + " must be finite and not negative, but was: " + weight);
            }
        }
    }

    /** Creates a split of which at least one destination must have a positive weight. */
    public TrafficSplit(List<Destination> destinations) {
        this.destinations = List.copyOf(destinations);
        this.totalWeight =
                this.destinations.stream().mapToDouble(Destination::weight).sum();
        if (!(totalWeight > 0)) {
            throw new IllegalArgumentException("a traffic split needs a destination with a positive weight");
        }
    }

    /** Returns a split that sends all requests to one service. */
    public static TrafficSplit single(ServiceId service) {
        return new TrafficSplit(List.of(new Destination(service, 1)));
    }

    /** Returns the destinations in the order of the configuration. */
    public List<Destination> destinations() {
        return destinations;
    }

    /**
     * Returns the service at a position in the unit interval, which the destinations divide by weight.
     *
     * @param position from 0 (inclusive) to 1 (exclusive); uniformly distributed positions select services by weight
     */
    public ServiceId select(double position) {
        double remaining = position * totalWeight;
        for (Destination destination : destinations) {
            remaining -= destination.weight();
            if (remaining < 0) {
                return destination.service();
            }
        }
        // Reached only if rounding leaves a remainder after the last destination.
        return destinations.stream()
                .filter(destination -> destination.weight() > 0)
                .findFirst()
                .orElseThrow()
                .service();
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof TrafficSplit that && destinations.equals(that.destinations);
    }

    @Override
    public int hashCode() {
        return destinations.hashCode();
    }

    @Override
    public String toString() {
        return destinations.toString();
    }
}
