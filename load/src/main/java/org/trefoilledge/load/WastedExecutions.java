package org.trefoilledge.load;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;

/**
 * Upstream executions that did not contribute to a whole answer in time.
 *
 * @param executions executions that finished
 * @param late those that finished after their deadline
 * @param unneeded executions in time beyond those required by whole answers: for failed root requests or retries
 */
record WastedExecutions(long executions, long late, long unneeded) {
    static final WastedExecutions NONE = new WastedExecutions(0, 0, 0);

    /** The totals of one upstream stand-in. */
    record Totals(long finished, long late) {
        static Totals of(JsonNode executions) {
            JsonNode totals = executions.path("totals");
            return new Totals(
                    totals.path("finished").asLong(), totals.path("wasted").asLong());
        }
    }

    /**
     * Sums up the totals of all upstreams.
     *
     * @param needed executions that the root requests with a whole answer needed
     */
    static WastedExecutions of(List<Totals> totals, long needed) {
        long finished = totals.stream().mapToLong(Totals::finished).sum();
        long late = totals.stream().mapToLong(Totals::late).sum();
        return new WastedExecutions(finished, late, Math.max(0, finished - late - needed));
    }

    double share() {
        return executions == 0 ? 0 : (late + unneeded) / (double) executions;
    }
}
