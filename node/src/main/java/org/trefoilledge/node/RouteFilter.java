package org.trefoilledge.node;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.trefoilledge.core.ErrorKind;
import org.trefoilledge.core.config.Route;

/** Matches method and path to a route and sets deadline, importance and attempt budget. */
final class RouteFilter implements Filter {
    /** Longest chain of calls, counted in services. */
    static final int MAX_DEPTH = 7;

    private static final String DEADLINE_HEADER = "Trefoilledge-Deadline-Ms";

    private final Supplier<Snapshot> snapshots;

    RouteFilter(Supplier<Snapshot> snapshots) {
        this.snapshots = snapshots;
    }

    @Override
    public CompletableFuture<Answer> apply(Exchange exchange, Next next) {
        Snapshot snapshot = snapshots.get();
        if (snapshot.revision() == 0) {
            return refuse(ErrorKind.NOT_READY, 1_000, "no configuration has arrived yet");
        }
        exchange.snapshot(snapshot);
        Optional<Route> route = snapshot.routes().find(exchange.method(), exchange.path());
        if (route.isEmpty()) {
            return refuse(ErrorKind.UNKNOWN_ROUTE, 0, exchange.method() + " " + exchange.path());
        }
        exchange.route(route.get());
        Optional<CallContext> parent = exchange.parent();
        if (parent.isPresent()) {
            return inherit(exchange, parent.get(), next);
        }
        if (route.get().internal()) {
            return refuse(ErrorKind.FORBIDDEN, 0, "route " + route.get().id() + " is internal");
        }
        exchange.importance(route.get().importance());
        exchange.budget().set(snapshot.inventory().rules().attemptBudget());
        return deadline(exchange, snapshot.inventory().rules().defaultDeadlineMillis(), next);
    }

    private static CompletableFuture<Answer> inherit(Exchange exchange, CallContext parent, Next next) {
        if (parent.depth() >= MAX_DEPTH) {
            return refuse(ErrorKind.TOO_DEEP, 0, "the chain already has " + parent.depth() + " calls");
        }
        exchange.importance(parent.importance());
        exchange.rootHash(parent.rootHash());
        exchange.depth(parent.depth() + 1);
        return deadline(exchange, parent.deadlineMillis() - exchange.receivedMillis(), next);
    }

    private static CompletableFuture<Answer> deadline(Exchange exchange, long mostMillis, Next next) {
        long millis = mostMillis;
        for (String value : exchange.values(DEADLINE_HEADER)) {
            if (!value.matches("[0-9]{1,9}")) {
                return refuse(ErrorKind.BAD_REQUEST, 0, DEADLINE_HEADER + " must be a whole number of milliseconds");
            }
            millis = Math.min(millis, Long.parseLong(value));
        }
        if (millis <= 0) {
            return refuse(ErrorKind.DEADLINE_EXCEEDED, 0, "no time was left when the request arrived");
        }
        exchange.deadlineMillis(exchange.receivedMillis() + millis);
        return next.proceed(exchange);
    }

    private static CompletableFuture<Answer> refuse(ErrorKind kind, long retryAfterMillis, String reason) {
        return CompletableFuture.completedFuture(Answer.refused(kind, retryAfterMillis, reason));
    }
}
