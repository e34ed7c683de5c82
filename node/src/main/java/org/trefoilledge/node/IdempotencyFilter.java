package org.trefoilledge.node;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.trefoilledge.core.ErrorKind;
import org.trefoilledge.core.RequestId;

/** Reads the id of a non-idempotent request. */
final class IdempotencyFilter implements Filter {
    @Override
    public CompletableFuture<Answer> apply(Exchange exchange, Next next) {
        List<String> values = exchange.values("Idempotency-Key");
        if (exchange.route().idempotent() || values.isEmpty()) {
            return next.proceed(exchange);
        }
        if (values.size() > 1) {
            return refuse("more than one Idempotency-Key header");
        }
        try {
            exchange.requestId(new RequestId(exchange.organisation(), values.get(0)));
        } catch (IllegalArgumentException e) {
            return refuse(e.getMessage());
        }
        return next.proceed(exchange);
    }

    private static CompletableFuture<Answer> refuse(String reason) {
        return CompletableFuture.completedFuture(Answer.refused(ErrorKind.BAD_REQUEST, reason));
    }
}
