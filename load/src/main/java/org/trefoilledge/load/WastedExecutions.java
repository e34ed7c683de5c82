package org.trefoilledge.load;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;

/**
 * Executions at upstreams that helped nobody.
 *
 * @param executions executions that finished
 * @param late those that finished after their deadline
 * @param unneeded those in time beyond what the whole answers needed: for root requests that failed, or repeated
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
