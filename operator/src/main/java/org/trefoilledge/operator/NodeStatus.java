package org.trefoilledge.operator;

import com.fasterxml.jackson.databind.JsonNode;

/** The status that a node gave. */
record NodeStatus(NodeAddress node, JsonNode json) {
    String text(String field) {
        return json.path(field).asText("");
    }

    long number(String field) {
        return json.path(field).asLong();
    }

    boolean flag(String field) {
        return json.path(field).asBoolean();
    }

    /** Returns whether a host is this node or one of its members. */
    boolean knows(String host) {
        return text("host").equals(host)
                || json.path("members").findValuesAsText("host").contains(host);
    }

    long revision() {
        return number("revision");
    }

    /**
     * Compares the node's configuration with a log that was read from the store later.
     *
     * @throws RejectedException if the store has lost or replaced entries that the node has in force
     */
    void checkAgainst(ConfigHistory history) throws RejectedException {
        if (revision() > history.revision()) {
            throw new RejectedException("node " + node + " has revision " + revision()
                    + " in force, but the store has only " + history.revision() + ": the store was restored from an"
                    + " older copy; nodes write the missing entries back, try again after that");
        }
        if (revision() > 0 && !text("digest").equals(history.digest(revision()))) {
            throw new RejectedException("node " + node + " has another revision " + revision()
                    + " in force than the store: the log was forked; compare them before any write");
        }
    }
}
