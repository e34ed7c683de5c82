package org.trefoilledge.core.admission;

import java.util.HashMap;
import java.util.Map;

/**
 * Applies an admission plan to individual requests. Admissions are spread evenly: if half of a class is admitted, every
 * second request of the class is. Not thread-safe.
 */
public final class AdmissionGate {
    /** Accumulated fractions from which on repeated requests are admitted; first requests are admitted from 1 on. */
    private static final double MIN_CREDIT_OF_REPEATED = 2;

    private final Map<RequestClass, Double> accumulatedFractions = new HashMap<>();
    private AdmissionPlan plan = AdmissionPlan.ADMIT_ALL;

    /** Replaces the plan. */
    public void plan(AdmissionPlan newPlan) {
        plan = newPlan;
    }

    /**
     * What the plan means for a class.
     *
     * @param fraction fraction of the class that is admitted, from 0 to 1
     * @param nextAdmitted whether the next request of the class is admitted
     * @param limitedByRetries whether the class is limited because the retries of its call trees are scarce
     */
    public record Preview(double fraction, boolean nextAdmitted, boolean limitedByRetries) {}

    /** Returns what the plan means for the next request of the class, without counting it. */
    public Preview preview(RequestClass requestClass) {
        double fraction = plan.admittedFraction(requestClass);
        boolean next = fraction >= 1 || accumulatedFractions.getOrDefault(requestClass, 0.0) + fraction >= 1;
        return new Preview(fraction, next, plan.isLimitedByRetries(requestClass));
    }

    /** Returns whether the plan states what is admitted of the class. */
    public boolean decides(RequestClass requestClass) {
        return plan.decides(requestClass);
    }

    /** Returns whether the class is limited because the retries of its call trees are scarce. */
    public boolean isLimitedByRetries(RequestClass requestClass) {
        return plan.isLimitedByRetries(requestClass);
    }

    /** Returns whether the next request of the class is admitted. */
    public boolean admit(RequestClass requestClass) {
        return admit(requestClass, false);
    }

    /**
     * Returns whether the next request of the class is admitted.
     *
     * @param repeated whether the request was refused before. Such a request can no longer be answered within its target
     *     time, so it is admitted only if the requests that arrive for the first time leave something of the fraction
     */
    public boolean admit(RequestClass requestClass, boolean repeated) {
        double fraction = plan.admittedFraction(requestClass);
        if (fraction >= 1) {
            return true;
        }
        double sum = accumulatedFractions.getOrDefault(requestClass, 0.0) + fraction;
        boolean admitted = sum >= (repeated ? MIN_CREDIT_OF_REPEATED : 1);
        accumulatedFractions.put(requestClass, admitted ? sum - 1 : Math.min(MIN_CREDIT_OF_REPEATED, sum));
        return admitted;
    }
}
