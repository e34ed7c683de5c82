package org.trefoilledge.operator;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Asks nodes for their status. */
final class NodePoll {
    private static final long PAUSE_MILLIS = 250;

    private final Environment environment;
    private final List<NodeAddress> nodes;

    NodePoll(Environment environment, List<NodeAddress> nodes) {
        this.environment = environment;
        this.nodes = List.copyOf(nodes);
    }

    /** Returns the statuses of the nodes that can be reached; notes the others on standard error. */
    List<NodeStatus> statuses() throws InterruptedException {
        List<NodeStatus> statuses = new ArrayList<>();
        for (NodeAddress node : nodes) {
            try {
                statuses.add(new NodeStatus(node, environment.nodes().get(node, "/status")));
            } catch (IOException e) {
                environment.err().println("note: node " + node + " cannot be reached: " + e.getMessage());
            }
        }
        return statuses;
    }

    /** Waits until all nodes report at least the revision, and returns those that did not in time. */
    List<NodeAddress> await(long revision, long timeoutMillis) throws InterruptedException {
        long end = environment.clock().millis() + timeoutMillis;
        List<NodeAddress> behind = behind(nodes, revision);
        while (!behind.isEmpty() && environment.clock().millis() < end) {
            environment.pause().pause(PAUSE_MILLIS);
            behind = behind(behind, revision);
        }
        return behind;
    }

    private List<NodeAddress> behind(List<NodeAddress> asked, long revision) throws InterruptedException {
        List<NodeAddress> behind = new ArrayList<>();
        for (NodeAddress node : asked) {
            if (revision(node).orElse(0L) < revision) {
                behind.add(node);
            }
        }
        return behind;
    }

    private Optional<Long> revision(NodeAddress node) throws InterruptedException {
        try {
            JsonNode status = environment.nodes().get(node, "/status");
            return Optional.of(status.path("revision").asLong());
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    /** Returns nodes as options of a command line. */
    String options(List<NodeAddress> chosen) {
        return chosen.stream().map(node -> " --node " + node).reduce("", String::concat);
    }
}
