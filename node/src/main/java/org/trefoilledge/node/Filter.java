package org.trefoilledge.node;

import java.util.concurrent.CompletableFuture;

/** One step of the request path. It refuses, or hands the exchange to the next step. */
@FunctionalInterface
interface Filter {
    CompletableFuture<Answer> apply(Exchange exchange, Next next);

    /** The rest of the path. */
    @FunctionalInterface
    interface Next {
        CompletableFuture<Answer> proceed(Exchange exchange);
    }
}
