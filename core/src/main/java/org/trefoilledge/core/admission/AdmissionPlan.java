package org.trefoilledge.core.admission;

import java.util.Map;

/** The part of each class of root requests that is admitted. Immutable. */
public record AdmissionPlan(Map<RequestClass, Double> admitted) {
    /** Admits everything. */
    public static final AdmissionPlan ALL = new AdmissionPlan(Map.of());

    /** Copies the table; classes that are absent are admitted in full. */
    public AdmissionPlan {
        admitted = Map.copyOf(admitted);
    }

    /** Returns the part of the class that is admitted, from 0 to 1. */
    public double part(RequestClass requests) {
        return admitted.getOrDefault(requests, 1.0);
    }
}
