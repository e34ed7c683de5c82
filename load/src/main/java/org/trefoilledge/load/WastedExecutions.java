package org.trefoilledge.load;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Set;

/**
 * Executions at upstreams that helped nobody.
 *
 * @param executions executions that finished
 * @param late those that finished after their deadline
 * @param forNothing those in time whose root request was not answered whole
 */
record WastedExecutions(long executions, long late, long forNothing) {
    static final WastedExecutions NONE = new WastedExecutions(0, 0, 0);

    /** Counts the executions that one upstream stand-in lists. */
    static WastedExecutions of(JsonNode list, Set<Long> wholeRoots) {
        JsonNode entries = list.isArray() ? list : list.path("executions");
        WastedExecutions sum = NONE;
        for (JsonNode entry : entries) {
            sum = sum.plus(one(entry, wholeRoots));
        }
        return sum;
    }

    private static WastedExecutions one(JsonNode entry, Set<Long> wholeRoots) {
        if (!entry.path("finished").asBoolean(true)) {
            return NONE;
        }
        boolean late = entry.path("late").asBoolean(false);
        long root = RequestEcho.root(entry.path("path").asText());
        boolean forNothing = !late && root >= 0 && !wholeRoots.contains(root);
        return new WastedExecutions(1, late ? 1 : 0, forNothing ? 1 : 0);
    }

    static WastedExecutions sum(List<WastedExecutions> parts) {
        return parts.stream().reduce(NONE, WastedExecutions::plus);
    }

    WastedExecutions plus(WastedExecutions other) {
        return new WastedExecutions(executions + other.executions, late + other.late, forNothing + other.forNothing);
    }

    double share() {
        return executions == 0 ? 0 : (late + forNothing) / (double) executions;
    }
}
