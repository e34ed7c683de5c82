package org.trefoilledge.node;

import java.util.concurrent.CompletableFuture;

/** Connects futures of the asynchronous request path. */
final class Futures {
    private Futures() {}

    /** Completes the target as the source completes. */
    static <T> void forward(CompletableFuture<T> source, CompletableFuture<T> target) {
        var unused = source.whenComplete((value, error) -> {
            if (error == null) {
                target.complete(value);
            } else {
                target.completeExceptionally(error);
            }
        });
    }
}
