package org.trefoilledge.core.admission;

import java.util.Map;

/**
 * The fraction of each class of root requests that is admitted. Immutable.
 *
 * @param admittedFractions fractions from 0 to 1; classes that are absent are admitted in full
 */
public record AdmissionPlan(Map<RequestClass, Double> admittedFractions) {
    /** Admits all requests. */
    public static final AdmissionPlan ADMIT_ALL = new AdmissionPlan(Map.of());

    /** Copies the map. */
    public AdmissionPlan {
        admittedFractions = Map.copyOf(admittedFractions);
    }

    /** Returns the fraction of the class that is admitted, from 0 to 1. */
    public double admittedFraction(RequestClass requestClass) {
        return admittedFractions.getOrDefault(requestClass, 1.0);
    }

    // The generated methods of a record are slow before JIT compilation.
    @Override
    public boolean equals(Object other) {
        return other instanceof AdmissionPlan that && that.admittedFractions.equals(admittedFractions);
    }

    @Override
    public int hashCode() {
        return admittedFractions.hashCode();
    }
}
