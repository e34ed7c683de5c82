package org.trefoilledge.core.routing;

import java.util.List;
import java.util.Objects;
import org.trefoilledge.core.ServiceId;

/** The services of a route, each with the share of the requests that it gets. Immutable. */
public final class TrafficSplit {
    private final List<Destination> destinations;
    private final double totalWeight;

    /** One service and its weight relative to the other parts. */
    public record Destination(ServiceId service, double weight) {
        /** Checks that the weight is a number from 0 up. */
        public Destination {
            Objects.requireNonNull(service, "service");
            if (!(weight >= 0) || Double.isInfinite(weight)) {
                throw new IllegalArgumentException("weight of " + service + " must not be negative: " + weight);
            }
        }
    }

    /** Creates a split; at least one part needs a positive weight. */
    public TrafficSplit(List<Destination> parts) {
        this.destinations = List.copyOf(parts);
        this.totalWeight =
                this.destinations.stream().mapToDouble(Destination::weight).sum();
        if (!(totalWeight > 0)) {
            throw new IllegalArgumentException("a split needs a part with a positive weight");
        }
    }

    /** Returns a split that sends everything to one service. */
    public static TrafficSplit single(ServiceId service) {
        return new TrafficSplit(List.of(new Destination(service, 1)));
    }

    /** Returns the parts in the order of the configuration. */
    public List<Destination> destinations() {
        return destinations;
    }

    /**
     * Returns the service at a position of the unit interval.
     *
     * @param position from 0 (inclusive) to 1 (exclusive); uniform positions yield the weights
     */
    public ServiceId select(double position) {
        double left = position * totalWeight;
        for (Destination part : destinations) {
            left -= part.weight();
            if (left < 0) {
                return part.service();
            }
        }
        return destinations.stream()
                .filter(part -> part.weight() > 0)
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
