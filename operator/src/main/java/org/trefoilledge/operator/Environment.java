package org.trefoilledge.operator;

import java.io.PrintWriter;
import java.util.function.Supplier;
import org.trefoilledge.core.Clock;

/**
 * What the commands use of the outside world.
 *
 * @param operationIds random ids, by which a write whose answer was lost is recognised
 * @param keys new random keys for organisations
 */
record Environment(
        PrintWriter out,
        PrintWriter err,
        StoreOpener stores,
        NodeClient nodes,
        Supplier<String> operationIds,
        Supplier<String> keys,
        Clock clock,
        Pause pause) {}
