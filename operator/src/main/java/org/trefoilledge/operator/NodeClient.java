package org.trefoilledge.operator;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;

/** Reads JSON from the operators' port of a node. */
@FunctionalInterface
interface NodeClient {
    JsonNode get(NodeAddress node, String pathAndQuery) throws IOException, InterruptedException;
}
