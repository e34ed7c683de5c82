package org.trefoilledge.core.admission;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates how many call trees complete per second under a plan while services reject calls. If the retries of a
 * service do not suffice for all its calls, each rejected call is retried with the same probability, because nested
 * calls do not tell to which tree they belong.
 */
final class CompletionModel {
    private static final int SOLVER_STEPS = 20;

    private final Map<RequestClass, Double> arrivals;
    private final CallTreeCosts costs;
    private final FailingServices failing;

    /** Trees per second that make calls to one service, and the calls of one of them. */
    private record Flow(double treesPerSecond, CallTreeCosts.NestedCalls calls) {}

    CompletionModel(Map<RequestClass, Double> arrivals, CallTreeCosts costs, FailingServices failing) {
        this.arrivals = arrivals;
        this.costs = costs;
        this.failing = failing;
    }

    /** Returns the root requests per second of all classes whose call trees complete. */
    double completionsPerSecond(AdmissionPlan plan) {
        Map<RequestClass, Double> completions = new HashMap<>();
        arrivals.forEach(
                (requests, perSecond) -> completions.put(requests, perSecond * plan.admittedFraction(requests)));
        failing.rejectionRates().forEach((service, rejectionRate) -> {
            Map<RequestClass, Flow> flows = new HashMap<>();
            arrivals.forEach((requests, perSecond) -> {
                CallTreeCosts.NestedCalls calls =
                        costs.nestedCalls(requests.route()).get(service);
                if (calls != null) {
                    flows.put(requests, new Flow(perSecond * plan.admittedFraction(requests), calls));
                }
            });
            double success = callSuccess(flows, rejectionRate, failing.retriesPerSecond(service));
            flows.forEach((requests, flow) -> completions.computeIfPresent(
                    requests, (r, trees) -> trees * Math.pow(success, flow.calls.count())));
        });
        return completions.values().stream().mapToDouble(Double::doubleValue).sum();
    }

    /** Returns the probability that a call succeeds when the flows share the given retries per second. */
    private static double callSuccess(Map<RequestClass, Flow> flows, double rejectionRate, double retriesPerSecond) {
        double granted = 0;
        double denied = 1;
        if (retriesNeeded(flows, rejectionRate, 1) <= retriesPerSecond) {
            granted = 1;
        } else {
            for (int step = 0; step < SOLVER_STEPS; step++) {
                double middle = (granted + denied) / 2;
                if (retriesNeeded(flows, rejectionRate, middle) <= retriesPerSecond) {
                    granted = middle;
                } else {
                    denied = middle;
                }
            }
        }
        return callSuccess(rejectionRate, granted);
    }

    private static double callSuccess(double rejectionRate, double retryProbability) {
        return (1 - rejectionRate) / (1 - rejectionRate * retryProbability);
    }

    /** Returns the cost per second of the retries if each rejected call is retried with the given probability. */
    private static double retriesNeeded(Map<RequestClass, Flow> flows, double rejectionRate, double retryProbability) {
        double success = callSuccess(rejectionRate, retryProbability);
        double retriesPerCall = rejectionRate * retryProbability / (1 - rejectionRate * retryProbability);
        return flows.values().stream()
                .mapToDouble(flow -> {
                    double calls = flow.calls.count();
                    // A tree makes its calls one after the other, and none after the first that fails.
                    double made = success >= 1 ? calls : (1 - Math.pow(success, calls)) / (1 - success);
                    return flow.treesPerSecond * flow.calls.retryCost() * made / Math.max(1e-9, calls) * retriesPerCall;
                })
                .sum();
    }
}
