package org.trefoilledge.operator;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.trefoilledge.core.config.ConfigCodec;

/**
 * The one outcome of a command, as lines of text and as JSON.
 *
 * @param toError whether the text belongs on standard error, because the command did nothing that was asked
 */
record Answer(int exitCode, boolean toError, List<String> lines, ObjectNode json) {
    Answer(int exitCode, List<String> lines, ObjectNode json) {
        this(exitCode, false, lines, json);
    }

    Answer {
        lines = List.copyOf(lines);
    }

    static ObjectNode object(String outcome) {
        return ConfigCodec.json().createObjectNode().put("outcome", outcome);
    }

    /** Returns an answer for a command that did not do what it was asked to do. */
    static Answer failure(int exitCode, String outcome, String reason, List<String> details) {
        List<String> lines = new java.util.ArrayList<>(List.of(outcome + ": " + reason));
        details.forEach(detail -> lines.add("  " + detail));
        ObjectNode json = object(outcome).put("reason", reason);
        if (!details.isEmpty()) {
            ArrayNode array = json.putArray("details");
            details.forEach(array::add);
        }
        return new Answer(exitCode, true, lines, json);
    }
}
