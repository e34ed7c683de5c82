package org.trefoilledge.load;

import java.util.List;

/** A rate multiplier over time: each step applies until the next one; the multiplier before the first step is 1. */
record RateShape(List<Step> steps) {
    static final RateShape FLAT = new RateShape(List.of());

    record Step(double atSeconds, double multiplier) {}

    RateShape {
        steps = List.copyOf(steps);
        for (int i = 1; i < steps.size(); i++) {
            if (steps.get(i).atSeconds() <= steps.get(i - 1).atSeconds()) {
                throw new IllegalArgumentException("steps must have increasing times");
            }
        }
    }

    double multiplier(double seconds) {
        double current = 1;
        for (Step step : steps) {
            if (step.atSeconds() <= seconds) {
                current = step.multiplier();
            }
        }
        return current;
    }

    /** Returns the time of the first step after the given time, infinity if there is none. */
    double nextStepSeconds(double seconds) {
        for (Step step : steps) {
            if (step.atSeconds() > seconds) {
                return step.atSeconds();
            }
        }
        return Double.POSITIVE_INFINITY;
    }
}
