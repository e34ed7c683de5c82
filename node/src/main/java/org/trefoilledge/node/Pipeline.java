package org.trefoilledge.node;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/** The filters of the request path, in their order. */
final class Pipeline {
    private final Filter.Next first;

    Pipeline(List<Filter> filters) {
        Filter.Next next = exchange -> {
            throw new IllegalStateException("the last filter must answer");
        };
        for (int i = filters.size() - 1; i >= 0; i--) {
            Filter filter = filters.get(i);
            Filter.Next rest = next;
            next = exchange -> filter.apply(exchange, rest);
        }
        first = next;
    }

    CompletableFuture<Answer> run(Exchange exchange) {
        return first.proceed(exchange);
    }
}
