package org.trefoilledge.load;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Set;
import java.util.TreeSet;

/** Decides from a node's status whether traffic may start. */
final class Readiness {
    private static final String SERVING = "serving";

    private Readiness() {}

    /** Returns why the node is not ready, empty if it is. */
    static String problem(JsonNode status, int members) {
        if (status.path("revision").asLong(0) < 1) {
            return "it has no configuration yet";
        }
        Set<String> serving = new TreeSet<>();
        if (status.path("upstreamState").asText("").equalsIgnoreCase(SERVING)) {
            serving.add(status.path("host").asText());
        }
        for (JsonNode member : status.path("members")) {
            if (member.path("state").asText("").equalsIgnoreCase(SERVING)) {
                serving.add(member.path("host").asText());
            }
        }
        return serving.size() == members ? "" : "it sees " + serving.size() + " of " + members + " members serving";
    }
}
