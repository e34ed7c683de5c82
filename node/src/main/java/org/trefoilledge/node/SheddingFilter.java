package org.trefoilledge.node;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import org.trefoilledge.core.Clock;
import org.trefoilledge.core.ErrorKind;
import org.trefoilledge.core.config.Route;
import org.trefoilledge.core.overload.SheddingTable;

/**
 * Refuses a root request early if its call tree would be shed deeper down, so that no work is wasted on it. The
 * decision depends on importance and root hash only, hence a tree is kept or shed as a whole.
 */
final class SheddingFilter implements Filter {
    private final SheddingTable table;
    private final boolean enabled;
    private final Clock clock;

    SheddingFilter(SheddingTable table, boolean enabled, Clock clock) {
        this.table = table;
        this.enabled = enabled;
        this.clock = clock;
    }

    @Override
    public CompletableFuture<Answer> apply(Exchange exchange, Next next) {
        if (!enabled || exchange.parent().isPresent()) {
            return next.proceed(exchange);
        }
        Route route = exchange.route();
        long now = clock.millis();
        if (!table.admits(route.id(), exchange.importance(), exchange.rootHash(), now)) {
            long retryAfter = table.retryAfterMillis(route.id(), now, ThreadLocalRandom.current());
            return CompletableFuture.completedFuture(
                    Answer.refused(ErrorKind.OVERLOADED, retryAfter, "route " + route.id() + " is shed early"));
        }
        return next.proceed(exchange).thenApply(answer -> {
            table.observe(route.id(), answer.admissionLevel(), clock.millis());
            return answer;
        });
    }
}
