package org.trefoilledge.core.admission;

import java.util.HashMap;
import java.util.Map;

/** Applies a plan to single requests, evenly: of a class that is admitted by half, every second one. Not thread-safe. */
public final class AdmissionGate {
    private final Map<RequestClass, Double> accumulatedFractions = new HashMap<>();
    private AdmissionPlan plan = AdmissionPlan.ADMIT_ALL;

    /** Replaces the plan. */
    public void plan(AdmissionPlan current) {
        plan = current;
    }

    /** Returns whether the next request of the class is admitted. */
    public boolean admit(RequestClass requests) {
        double part = plan.admittedFraction(requests);
        if (part >= 1) {
            return true;
        }
        double sum = accumulatedFractions.getOrDefault(requests, 0.0) + part;
        accumulatedFractions.put(requests, sum >= 1 ? sum - 1 : sum);
        return sum >= 1;
    }
}
