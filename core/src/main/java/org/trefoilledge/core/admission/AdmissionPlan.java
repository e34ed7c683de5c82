package org.trefoilledge.core.admission;

import java.util.Map;
import java.util.Set;

/**
 * The fraction of each class of root requests that is admitted. Immutable.
 *
 * @param admittedFractions fractions from 0 to 1; classes that are absent are admitted in full. Classes that need a
 *     failing service and are deliberately admitted in full have the fraction 1
 * @param limitedByRetries classes that are limited because the retries of their call trees are scarce, not the slots
 */
public record AdmissionPlan(Map<RequestClass, Double> admittedFractions, Set<RequestClass> limitedByRetries) {
    /** Admits all requests. */
    public static final AdmissionPlan ADMIT_ALL = new AdmissionPlan(Map.of());

    /** Copies the collections. */
    public AdmissionPlan {
        admittedFractions = Map.copyOf(admittedFractions);
        limitedByRetries = Set.copyOf(limitedByRetries);
    }

    /** Creates a plan whose classes are limited by slots only. */
    public AdmissionPlan(Map<RequestClass, Double> admittedFractions) {
        this(admittedFractions, Set.of());
    }

    /** Returns the fraction of the class that is admitted, from 0 to 1. */
    public double admittedFraction(RequestClass requestClass) {
        return admittedFractions.getOrDefault(requestClass, 1.0);
    }

    /** Returns whether the plan states what is admitted of the class. */
    public boolean decides(RequestClass requestClass) {
        return admittedFractions.containsKey(requestClass);
    }

    /** Returns whether the class is limited because the retries of its call trees are scarce. */
    public boolean isLimitedByRetries(RequestClass requestClass) {
        return limitedByRetries.contains(requestClass);
    }

    // The generated methods of a record are slow before JIT compilation.
    @Override
    public boolean equals(Object other) {
        return other instanceof AdmissionPlan that
                && that.admittedFractions.equals(admittedFractions)
                && that.limitedByRetries.equals(limitedByRetries);
    }

    @Override
    public int hashCode() {
        return 31 * admittedFractions.hashCode() + limitedByRetries.hashCode();
    }
}
