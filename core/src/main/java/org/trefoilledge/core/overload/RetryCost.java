package org.trefoilledge.core.overload;

/** What a retry costs in the retry budget. */
public final class RetryCost {
    /** Cost if executions of the route make calls: the retry also repeats these calls, which count where they arrive. */
    private static final double WITH_CALLS = 3;

    private RetryCost() {}

    /** Returns the cost of a retry of a call. */
    public static double of(boolean makesCalls) {
        return makesCalls ? WITH_CALLS : 1;
    }
}
