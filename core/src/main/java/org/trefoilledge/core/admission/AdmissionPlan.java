package org.trefoilledge.core.admission;

import java.util.Map;

/** The part of each class of root requests that is admitted. Immutable. */
public record AdmissionPlan(Map<RequestClass, Double> admittedFractions) {
    /** Admits everything. */
    public static final AdmissionPlan ADMIT_ALL = new AdmissionPlan(Map.of());

    /** Copies the table; classes that are absent are admitted in full. */
    public AdmissionPlan {
        admittedFractions = Map.copyOf(admittedFractions);
    }

    /** Returns the part of the class that is admitted, from 0 to 1. */
    public double admittedFraction(RequestClass requests) {
        return admittedFractions.getOrDefault(requests, 1.0);
    }
}
