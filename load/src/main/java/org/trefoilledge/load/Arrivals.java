package org.trefoilledge.load;

import java.util.random.RandomGenerator;

/**
 * Intended send times of one caller group. They depend on rate, shape and random source only, never on the answers, so
 * a slow system does not lower the load that it is offered.
 */
final class Arrivals {
    private final double rate;
    private final RateShape shape;
    private final boolean uniform;
    private final RandomGenerator random;
    private double now;

    Arrivals(double rate, RateShape shape, boolean uniform, RandomGenerator random) {
        this.rate = rate;
        this.shape = shape;
        this.uniform = uniform;
        this.random = random;
    }

    /** Returns the next intended send time in seconds since the start; infinity if no more requests come. */
    double next() {
        double units = uniform ? 1 : random.nextExponential();
        while (true) {
            double current = rate * shape.multiplier(now);
            double end = shape.nextStepSeconds(now);
            double reached = current > 0 ? now + units / current : Double.POSITIVE_INFINITY;
            if (reached <= end) {
                now = reached;
                return now;
            }
            units -= (end - now) * current;
            now = end;
        }
    }
}
