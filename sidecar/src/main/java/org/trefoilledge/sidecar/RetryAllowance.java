package org.trefoilledge.sidecar;

import org.trefoilledge.core.admission.AdmissionPlanner;
import org.trefoilledge.core.admission.RetryBounds;

/** Divides the retries that the fleet may send to a service among its nodes. */
final class RetryAllowance {
    /** Used share of the fleet's retry allowance; below 1, because retried requests also repeat their own calls. */
    private static final double SHARE = 0.3;
    /** The same with tree admission, whose budget is a sliding window; the rest covers the calls of retried executions. */
    private static final double TREE_SHARE = 0.7;

    private final SidecarSettings.Bounds bounds;
    private final boolean treeAdmission;

    RetryAllowance(SidecarSettings.Bounds bounds, boolean treeAdmission) {
        this.bounds = bounds;
        this.treeAdmission = treeAdmission;
    }

    /** Sets the budget of this node, one of the given number. */
    void publish(TrafficPlane traffic, int nodes) {
        double share = treeAdmission ? TREE_SHARE : SHARE;
        traffic.setRetryBudget(bounds.retryRatio() * share, bounds.retrySlack() * share / nodes);
    }

    AdmissionPlanner createPlanner() {
        return treeAdmission
                ? new AdmissionPlanner(
                        new RetryBounds(bounds.retryRatio() * TREE_SHARE, bounds.retrySlack() * TREE_SHARE))
                : new AdmissionPlanner();
    }
}
