package org.trefoilledge.core.overload;

/** The retries to one service that a node may send. */
public interface RetryBudget {
    /**
     * Records the first attempt of a request.
     *
     * @param now current time in milliseconds
     */
    void recordRequest(long now);

    /**
     * Takes a retry from the budget; returns false if too little is left.
     *
     * @param cost number of retries that this one counts as
     * @param nested whether an execution makes the call, as opposed to a caller
     * @param now current time in milliseconds
     */
    boolean tryRetry(double cost, boolean nested, long now);

    /**
     * Returns a budget with other limits, to be used in place of this one.
     *
     * @param ratio retries per request
     * @param reserve retries that are allowed without preceding requests
     */
    RetryBudget withLimits(double ratio, double reserve);
}
