package org.trefoilledge.load;

import java.util.List;
import java.util.random.RandomGenerator;
import org.trefoilledge.core.Importance;

/**
 * One route of the mix.
 *
 * @param path path of the request; {@code {n}} is replaced by a random number from 0 to 999
 * @param importance importance under which the report counts the request
 * @param weight share of the mix, relative to the other routes
 * @param idempotencyKey whether requests carry an {@code Idempotency-Key} with a UUIDv7
 * @param echo texts that a whole answer contains, see {@link RequestEcho}
 */
record RouteLoad(
        String id,
        String method,
        String path,
        String body,
        Importance importance,
        double weight,
        boolean idempotencyKey,
        List<String> echo) {

    RouteLoad {
        echo = List.copyOf(echo);
    }

    String concretePath(RandomGenerator random) {
        return path.replace("{n}", Integer.toString(random.nextInt(1000)));
    }
}
