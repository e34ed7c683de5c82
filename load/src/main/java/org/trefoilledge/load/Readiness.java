package org.trefoilledge.load;

import com.fasterxml.jackson.databind.JsonNode;

/** Decides from a node's status whether traffic may start. */
final class Readiness {
    private Readiness() {}

    /** Returns why the node is not ready, empty if it is. */
    static String problem(JsonNode status, int members) {
        if (status.path("revision").asLong(0) < 1) {
            return "it has no configuration yet";
        }
        JsonNode list = status.path("members");
        int serving = 0;
        for (JsonNode member : list) {
            serving += member.path("state").asText("").equalsIgnoreCase("serving") ? 1 : 0;
        }
        return serving == members ? "" : "it sees " + serving + " of " + members + " members serving";
    }
}
